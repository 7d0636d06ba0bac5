#ifndef APRICOTTRACK_TOOLS_PRECOMPILED_H
#define APRICOTTRACK_TOOLS_PRECOMPILED_H

// Headers that most sources include and that are slow to compile.
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <fmt/format.h>
#include <map>
#include <string>
#include <vector>

#endif
