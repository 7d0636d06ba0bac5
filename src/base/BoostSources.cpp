/// Compiles the header-only parts of Boost.JSON once.

#include <boost/json/src.hpp>
