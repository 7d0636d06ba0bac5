#include "RestoredStoreHarness.h"
#include "serving/CatalogTask.h"

using namespace apricottrack;

namespace {

constexpr std::string_view kConfig = "op/config";

std::string
Document(int aVersion)
{
  return fmt::format(R"({{"version":{}}})", aVersion);
}

/// A node that reads the catalog.
struct CatalogNode : RestoredStoreHarness
{
  void Read() { REQUIRE(this->Await(this->task.ReadOnce())); }
  std::int64_t Version() const
  {
    return this->context.catalog.Current()->Contents().version;
  }
  void Put(int aVersion)
  {
    this->standin.Put(std::string(kConfig), Document(aVersion));
  }
  /// When the catalog was last verified to be the newest.
  Instant VerifiedAt() const
  {
    return Instant{} - this->context.catalog.VerificationAge(Instant{});
  }

  CatalogTask task{ this->context, this->store, CatalogTask::Options{}, [] {} };
};

} // namespace

// Guards against a configuration that a node never applies.
TEST_CASE("CatalogTask follows changes after a restore that reuse revisions")
{
  CatalogNode node;
  node.Put(1);
  node.standin.TakeCopy();
  node.Put(2);
  node.AdvanceTo(9);
  node.Read();
  REQUIRE(node.Version() == 2);
  if (GENERATE(true, false)) {
    node.RestoreAndTell(node.store);
  } else {
    node.standin.Restore();
  }
  node.Put(3);
  SECTION("below the last one that was checked") {}
  SECTION("up to the last one that was checked")
  {
    node.AdvanceTo(9);
  }
  SECTION("beyond the last one that was checked")
  {
    node.AdvanceTo(20);
  }
  node.Read();
  CHECK(node.Version() == 3);
  node.Put(4);
  node.Read();
  CHECK(node.Version() == 4);
}
