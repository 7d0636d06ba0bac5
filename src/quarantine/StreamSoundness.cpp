#include "quarantine/StreamSoundness.h"

namespace apricottrack {

namespace {

/// A request that crashes its target does so as soon as the response begins.
constexpr Duration kSoundStreamTime = milliseconds(300);

} // namespace

bool
StreamSoundness::OnProgress(Instant aNow)
{
  if (!this->streamingSince) {
    this->streamingSince = aNow;
  }
  if (this->isProven || aNow - *this->streamingSince < kSoundStreamTime) {
    return false;
  }
  this->isProven = true;
  return true;
}

} // namespace apricottrack
