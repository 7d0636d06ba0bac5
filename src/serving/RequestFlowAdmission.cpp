#include "base/Log.h"
#include "serving/RequestFlow.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

// The part of RequestFlow that decides on a request by the catalog, and makes
// sure that the catalog is recent enough for the decision.
namespace apricottrack {

namespace http = boost::beast::http;

IntakeResult
RequestFlow::AdmitByCatalog()
{
  const HttpRequest& request = this->exchange.Request();
  return Admit(this->context.catalog,
               this->caller,
               request[http::field::host],
               request.target(),
               this->arrivedAt,
               this->context.random);
}

Task<IntakeResult>
RequestFlow::AdmitVerified()
{
  IntakeResult admission = this->AdmitByCatalog();
  const bool isOutdated = this->HasOlderCatalogThanSender();
  if (!DependsOnVerification(admission.refusal) && !isOutdated) {
    co_return admission;
  }
  if (this->context.confirmCatalog) {
    co_await this->context.confirmCatalog(this->arrivedAt + kMaxConfirmWait);
    admission = this->AdmitByCatalog();
  }
  if (this->HasOlderCatalogThanSender()) {
    admission.refusal = IntakeRefusal::kCatalogNotVerified;
  }
  co_return admission;
}

bool
RequestFlow::HasOlderCatalogThanSender() const
{
  const CatalogPointer& catalog = this->context.catalog.Current();
  return this->forwarded && catalog != nullptr &&
         catalog->Contents().version < this->forwarded->catalogVersion;
}

void
RequestFlow::NoteCatalogVersion(std::int64_t aVersion)
{
  if (aVersion <= this->context.catalog.Current()->Contents().version ||
      !this->context.confirmCatalog) {
    return;
  }
  // The other node's catalog has taken effect for this node's callers.
  boost::asio::co_spawn(
    this->context.executor,
    this->context.confirmCatalog(MonotonicNow() + kMaxConfirmWait),
    boost::asio::detached);
}

Task<void>
RequestFlow::RefuseAtIntake(IntakeRefusal aRefusal)
{
  this->LogCatalog();
  switch (aRefusal) {
    case IntakeRefusal::kNoRoute:
      co_await this->Refuse(404, "no_route");
      co_return;
    case IntakeRefusal::kUnknownKey:
      co_await this->Refuse(401, "unknown_key");
      co_return;
    case IntakeRefusal::kNoCatalog:
      co_await this->Refuse(503, "no_catalog");
      co_return;
    case IntakeRefusal::kCatalogNotVerified:
      co_await this->Refuse(503, "catalog_not_verified");
      co_return;
    case IntakeRefusal::kKeyNotVerified:
    case IntakeRefusal::kNone:
      co_await this->Refuse(503, "key_not_proven");
      co_return;
  }
}

void
RequestFlow::LogCatalog() const
{
  const CatalogHolder& holder = this->context.catalog;
  if (holder.Current() == nullptr) {
    return;
  }
  LogLine("refused_by_catalog")
    .With("request", this->caller.attemptId)
    .With("version", holder.Current()->Contents().version)
    .With(
      "verified_ms_ago",
      std::int64_t{ holder.VerificationAge(MonotonicNow()) / milliseconds(1) })
    .With("forwarded", std::int64_t{ this->forwarded.has_value() })
    .Info();
}

} // namespace apricottrack
