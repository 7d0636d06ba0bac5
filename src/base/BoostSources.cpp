/// Compiles the sources of Boost.JSON, which it ships as a header, into one
/// object file.

#include <boost/json/src.hpp>
