#include "base/BoundedSink.h"

#include <array>
#include <atomic>
#include <catch2/catch.hpp>
#include <fcntl.h>
#include <spdlog/logger.h>
#include <thread>
#include <unistd.h>

using namespace apricottrack;

// Guards against a node that hangs because the reader of its log does not read.
TEST_CASE("BoundedSink does not block on a line that its pipe has no room for")
{
  std::array<int, 2> ends{};
  REQUIRE(pipe(ends.data()) == 0);
  const auto [reader, writer] = ends;
  const auto pageSize = static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
  const std::string page(pageSize, 'a');
  // Fills the pipe and then makes room for one page.
  const int flags = fcntl(writer, F_GETFL);
  fcntl(writer, F_SETFL, flags | O_NONBLOCK);
  while (write(writer, page.data(), pageSize) > 0) {
  }
  fcntl(writer, F_SETFL, flags);
  std::string buffer(pageSize, '\0');
  REQUIRE(read(reader, buffer.data(), pageSize) > 0);
  const auto sink =
    std::make_shared<BoundedSink>(BoundedSink::Options{ .descriptor = writer });
  spdlog::logger logger("test", sink);
  std::atomic<bool> done = false;
  std::thread logging([&] {
    logger.info(std::string(2 * pageSize, 'b'));
    done = true;
  });
  for (int i = 0; i < 100 && !done; ++i) {
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  CHECK(done);
  while (!done) {
    // Lets a blocked write end.
    CHECK(read(reader, buffer.data(), pageSize) > 0);
  }
  logging.join();
  close(reader);
  close(writer);
}
