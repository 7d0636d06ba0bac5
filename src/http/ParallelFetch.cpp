#include "http/ParallelFetch.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <utility>

namespace apricottrack {

namespace asio = boost::asio;

namespace {

/// The calls of one FetchOnAnyConnection. They share it, since some may go on
/// after the first response.
struct ParallelCalls
{
  explicit ParallelCalls(const asio::any_io_executor& aExecutor, int aCount)
    : pendingCount(aCount)
    , ended(aExecutor, asio::steady_timer::time_point::max())
  {
  }

  void OnResult(Result<HttpResponse> aResult)
  {
    --this->pendingCount;
    if (this->result) {
      return;
    }
    // A timeout shows that the peer has accepted a connection.
    const bool isMoreSpecific =
      aResult || aResult.error().code == ErrorCode::kTimeout ||
      this->result.error().code == ErrorCode::kUnreachable;
    if (isMoreSpecific) {
      this->result = std::move(aResult);
    }
    if (this->result || this->pendingCount == 0) {
      this->ended.cancel();
    }
  }

  int pendingCount;
  Result<HttpResponse> result =
    Failure(ErrorCode::kUnreachable, "http.connect", "", "");
  /// Cancelled once the result is final.
  asio::steady_timer ended;
};

} // namespace

Task<Result<HttpResponse>>
FetchOnAnyConnection(HttpConnectionPool& aPool,
                     std::string aAddress,
                     HttpRequest aRequest,
                     FetchLimits aLimits,
                     int aCount)
{
  const auto executor = co_await asio::this_coro::executor;
  const auto calls = std::make_shared<ParallelCalls>(executor, aCount);
  for (int i = 0; i < aCount; ++i) {
    asio::co_spawn(
      executor,
      [calls, &aPool, address = aAddress, request = aRequest, aLimits]()
        -> Task<void> {
        calls->OnResult(
          co_await FetchOnNewConnection(aPool, address, request, aLimits));
      },
      asio::detached);
  }
  if (!calls->result && calls->pendingCount > 0) {
    co_await calls->ended.async_wait(kAsTuple);
  }
  co_return std::move(calls->result);
}

} // namespace apricottrack
