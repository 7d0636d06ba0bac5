#include "serving/Intake.h"

#include <algorithm>

namespace apricottrack {

namespace {

const CatalogService*
PickService(const CatalogIndex& aCatalog,
            const CatalogRoute& aRoute,
            std::mt19937_64& aRandom)
{
  std::vector<double> weights;
  for (const ServiceShare& share : aRoute.services) {
    weights.push_back(std::max(0.0, share.weight));
  }
  std::discrete_distribution<std::size_t> indexDistribution(weights.begin(),
                                                            weights.end());
  return FindService(aCatalog.Contents(),
                     aRoute.services[indexDistribution(aRandom)].service);
}

} // namespace

bool
DependsOnVerification(IntakeRefusal aRefusal)
{
  return aRefusal == IntakeRefusal::kKeyNotVerified ||
         aRefusal == IntakeRefusal::kCatalogNotVerified;
}

IntakeResult
Admit(const CatalogHolder& aHolder,
      const CallerHead& aCaller,
      std::string_view aHost,
      std::string_view aPath,
      Instant aNow,
      std::mt19937_64& aRandom)
{
  const CatalogPointer& catalog = aHolder.Current();
  if (catalog == nullptr || !aHolder.WasVerified()) {
    return { .refusal = IntakeRefusal::kNoCatalog };
  }
  const auto refuseUnknown = [&](IntakeRefusal aRefusal) {
    return IntakeResult{ .refusal = aHolder.MayRefuse(aNow)
                                      ? aRefusal
                                      : IntakeRefusal::kCatalogNotVerified };
  };
  const CatalogRoute* const route = catalog->FindRoute(aHost, aPath);
  if (route == nullptr) {
    return refuseUnknown(IntakeRefusal::kNoRoute);
  }
  std::string account;
  int priority = route->priority;
  if (catalog->RequiresKeys() && !route->isPublic) {
    if (!aHolder.MayAcceptKeys(aNow)) {
      return { .refusal = IntakeRefusal::kKeyNotVerified };
    }
    const CatalogAccount* const owner = catalog->FindAccount(aCaller.key);
    if (owner == nullptr) {
      return refuseUnknown(IntakeRefusal::kUnknownKey);
    }
    account = owner->name;
    priority = owner->priority.value_or(priority);
  }
  const Duration timeLimit =
    std::min(aCaller.requestTimeout.value_or(route->timeout), route->timeout);
  return { .refusal = IntakeRefusal::kNone,
           .request = { .catalog = catalog,
                        .route = route,
                        .service = PickService(*catalog, *route, aRandom),
                        .account = std::move(account),
                        .priority = priority,
                        .deadline = aNow + timeLimit } };
}

} // namespace apricottrack
