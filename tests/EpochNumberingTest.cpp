#include "replicas/EpochNumbering.h"
#include "platform/EraRevision.h"

#include <catch2/catch.hpp>

using namespace apricottrack;
using platform::EraRevision;

namespace {

constexpr std::int64_t kLastNumber = (std::int64_t{ 1 } << 36U) - 1;

std::int64_t
TokenIn(std::int64_t aEra, std::int64_t aNumber = 1)
{
  return EraRevision{ .era = aEra, .number = aNumber }.Encode();
}

} // namespace

TEST_CASE("EpochNumbering gives larger tokens larger epochs")
{
  const std::int64_t tokens[] = { 1,
                                  2,
                                  TokenIn(0, kLastNumber),
                                  TokenIn(1),
                                  TokenIn(1000, kLastNumber),
                                  TokenIn(1001),
                                  TokenIn(1001, 2),
                                  TokenIn(EraRevision::kMaxEra, kLastNumber) };
  std::int64_t previous = 0;
  for (const std::int64_t token : tokens) {
    CAPTURE(token);
    const std::int64_t first = EpochNumbering::Epoch(token, 1);
    const std::int64_t last = EpochNumbering::Epoch(token, 4095);
    CHECK(first > previous);
    CHECK(last > first);
    CHECK(EpochNumbering::TokenOf(first) == token);
    CHECK(EpochNumbering::TokenOf(last) == token);
    previous = last;
  }
}

// Guards against epochs that overflow, and so go back, after a restore.
TEST_CASE("EpochNumbering has a range for each revision of a supported era")
{
  CHECK(TokenIn(EraRevision::kMaxEra, kLastNumber) <=
        EpochNumbering::MaxToken());
  CHECK(EpochNumbering::Epoch(EpochNumbering::MaxToken(), 4095) > 0);
  CHECK(EpochNumbering::TokenOf(EpochNumbering::Epoch(
          EpochNumbering::MaxToken(), 4095)) == EpochNumbering::MaxToken());
}

// Planners of both builds may follow each other while VMs are upgraded.
TEST_CASE("EpochNumbering numbers small tokens like earlier builds")
{
  CHECK(EpochNumbering::Epoch(7, 3) == 700'003);
  CHECK(EpochNumbering::Epoch(TokenIn(1000), 1) == TokenIn(1000) * 100'000 + 1);
}
