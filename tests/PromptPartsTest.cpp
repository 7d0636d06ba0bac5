#include "quarantine/PromptParts.h"
#include "quarantine/RequestIdentity.h"

#include <catch2/catch.hpp>

using namespace apricottrack;

namespace {

constexpr std::size_t kMaxParts =
  PromptParts::kMaxFirstParts + PromptParts::kMaxLastParts;

std::vector<std::string>
Numbers(std::size_t aFirst, std::size_t aCount)
{
  std::vector<std::string> numbers;
  for (std::size_t i = aFirst; i < aFirst + aCount; ++i) {
    numbers.push_back(std::to_string(i));
  }
  return numbers;
}

std::vector<std::string>
Collect(const std::vector<std::string>& aIds)
{
  PromptParts parts;
  for (const std::string& id : aIds) {
    parts.Add(id);
  }
  return parts.Ids();
}

} // namespace

TEST_CASE("PromptParts keeps a usual list as it is")
{
  CHECK(Collect({}).empty());
  CHECK(Collect({ "5c1e07a2", "91bd3f06" }) ==
        std::vector<std::string>{ "5c1e07a2", "91bd3f06" });
  CHECK(Collect(Numbers(0, kMaxParts)) == Numbers(0, kMaxParts));
}

// Guards against a head that makes the process hold a string for each comma.
TEST_CASE("PromptParts keeps the first and the last ids of a long list")
{
  const std::size_t count = GENERATE(kMaxParts + 1, std::size_t{ 2500 });
  std::vector<std::string> expected = Numbers(0, PromptParts::kMaxFirstParts);
  for (const std::string& id : Numbers(count - PromptParts::kMaxLastParts,
                                       PromptParts::kMaxLastParts)) {
    expected.push_back(id);
  }
  CHECK(Collect(Numbers(0, count)) == expected);
  std::vector<std::string> received = Numbers(0, count);
  received.push_back("request:1");
  PromptParts::Bound(received);
  expected.push_back("request:1");
  CHECK(received == expected);
}

TEST_CASE("PromptParts leaves out empty and repeated ids")
{
  std::vector<std::string> ids(15800);
  CHECK(Collect(ids).empty());
  ids.assign(300, "a");
  ids.emplace_back("b");
  CHECK(Collect(ids) == std::vector<std::string>{ "a", "b" });
}

TEST_CASE("BoundedId replaces a long id by a short one of its own")
{
  const std::string longest(kMaxBoundedIdBytes, 'a');
  CHECK(BoundedId(longest) == longest);
  const std::string first = BoundedId(std::string(8000, 'a'));
  CHECK(first.size() <= kMaxBoundedIdBytes);
  CHECK(first == BoundedId(std::string(8000, 'a')));
  CHECK(first != BoundedId(std::string(8001, 'a')));
  CHECK_FALSE(IsRequestIdentity(first));
}
