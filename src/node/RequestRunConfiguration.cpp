#include "node/NodeForward.h"
#include "node/RequestRun.h"

// The part of RequestRun that makes sure that the configuration is recent
// enough to refuse a request by it.
namespace apricottrack {

namespace {

/// Age of the last verification at which a service, kind or account that the
/// configuration lacks is taken not to exist.
constexpr Duration kMaxRefusalAge = milliseconds(1000);
/// Longest wait for a read of the configuration.
constexpr Duration kMaxConfirmWait = milliseconds(700);

} // namespace

bool
RequestRun::HasOlderConfigurationThanSender() const
{
  return this->context.configuration.Stored().version <
         NodeForward::ConfigurationVersion(this->exchange.Request());
}

Task<std::optional<Refusal>>
RequestRun::ParseByNewestConfiguration()
{
  if (!this->HasOlderConfigurationThanSender()) {
    auto refusal = this->ParseAndCharge();
    const Duration age =
      this->arrivedAt - this->context.configurationVerifiedAt();
    if (!refusal || !DependsOnConfiguration(*refusal) || age < kMaxRefusalAge) {
      co_return refusal;
    }
  }
  const bool isConfirmed = co_await this->context.confirmConfiguration(
    this->arrivedAt + kMaxConfirmWait);
  if (!isConfirmed || this->HasOlderConfigurationThanSender()) {
    co_return MakeNotRunRefusal(
      503,
      "configuration_not_verified",
      "this node may not have the newest configuration",
      seconds(1));
  }
  co_return this->ParseAndCharge();
}

} // namespace apricottrack
