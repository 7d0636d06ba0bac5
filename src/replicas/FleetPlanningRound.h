#ifndef APRICOTTRACK_REPLICAS_FLEETPLANNINGROUND_H
#define APRICOTTRACK_REPLICAS_FLEETPLANNINGROUND_H

#include "replicas/FleetPlanner.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace apricottrack {

/// Names of replicas that hold one spare target each, and never serve.
inline constexpr std::string_view kSparePrefix = "spare-";

/// One planning round of a FleetPlanner.
class FleetPlanningRound
{
public:
  FleetPlanningRound(FleetPlanner& aPlanner,
                     const FleetPlannerView& aView,
                     Instant aNow);

  std::vector<ReplicaOrder> Run();

private:
  /// How soon a target can be a member of a replica of a model.
  enum class Warmth
  {
    /// Holds the weights.
    kHeld,
    /// The weights are on its host.
    kStaged,
    kCold,
  };

  const PlannerMember* Find(std::string_view aId) const;
  bool IsUsable(std::string_view aId) const;
  const ReplicaModel& ModelOf(const PlannedReplica& aReplica) const;
  Warmth WarmthOf(const TargetRecord& aRecord, std::string_view aModel) const;
  Duration JoinTime(const TargetRecord& aRecord,
                    const ReplicaModel& aModel) const;

  /// The target says that it holds the replica's present epoch.
  const Membership* CurrentMembership(const PlannedReplica& aReplica,
                                      std::string_view aMember) const;
  bool AllReady(const PlannedReplica& aReplica) const;
  bool IsIntact(const PlannedReplica& aReplica) const;
  bool AnyLeaving(const PlannedReplica& aReplica) const;
  /// The target can be a member: it is usable, or answers although the store
  /// does not list it. The latter is no reason to disturb what runs.
  bool MayBelong(std::string_view aId) const;
  /// A member leaves, but stays while the head has work, and nothing is there
  /// to replace it.
  bool MayServeOn(const PlannedReplica& aReplica) const;

  /// Drops what was kept of targets and lists of members that are gone.
  void ForgetOld();
  /// Takes up replicas that another planner formed.
  void AdoptUnknown();
  void MarkBroken(const PlannedReplica& aReplica);
  void Advance();
  void AdvanceJoining(PlannedReplica& aReplica);
  void AdvanceOpening(PlannedReplica& aReplica);
  void AdvanceServing(PlannedReplica& aReplica);
  /// True if the replica ended.
  bool AdvanceClosing(PlannedReplica& aReplica);

  /// Gives the replica a whole list of members, with a new epoch; false if
  /// its fabric domain lacks them.
  bool Repair(PlannedReplica& aReplica);
  /// The members go free, at once or after the head has stopped.
  void Dissolve(PlannedReplica& aReplica);
  void Release(const PlannedReplica& aReplica);

  /// Usable targets of a domain that can join a replica of the model soon,
  /// the warmest first.
  std::vector<std::string> FreeIn(std::string_view aDomain,
                                  std::string_view aModel) const;
  bool IsFree(const PlannerMember& aMember) const;
  /// A planned replica counts on the target.
  bool IsPlaced(std::string_view aId) const;
  /// The head of the list of members is known not to count on them.
  bool IsLoose(const Membership& aMembership) const;
  /// Takes targets out of replicas that nobody plans any more, or that went
  /// on without them.
  void FreeStrays();

  /// More targets are expected before anything is formed.
  bool IsSettling();
  void FormReplicas();
  /// Forms one replica of the model where most targets are free.
  bool FormOne(const ReplicaModel& aModel);
  /// Replicas of each model that the usable targets should serve with.
  ReplicaCounts Wanted() const;
  void NoteModels();
  /// Larger replicas first: small ones fit into what they leave.
  std::vector<const ReplicaModel*> ModelsBySize() const;
  /// Targets of the domain that have yet to load the model for one more whole
  /// replica of it.
  int MissingFor(const ReplicaModel& aModel, std::string_view aDomain) const;
  /// Targets of the domain that could join a replica of the model soon.
  int SparesFor(const ReplicaModel& aModel, std::string_view aDomain) const;
  /// The largest model of which the domain has fewer spares than replicas, or
  /// null.
  const ReplicaModel* UnguardedModel(std::string_view aDomain) const;
  /// The model that a target without any should load: one whose replicas could
  /// not be repaired, or the one of which its domain can have a whole replica
  /// soonest.
  const ReplicaModel& SpareModelFor(const TargetRecord& aRecord) const;
  int ReplicasOf(std::string_view aModel) const;
  /// Replicas of any model, from targets that stand idle while a model is
  /// short that they cannot serve; others can then be converted.
  void FormSubstitutes();
  double StrainOf(const ReplicaModel& aModel, int aReplicas) const;

  /// Replicas of one fabric domain that would stop for a replica of another
  /// model.
  struct Conversion
  {
    std::vector<std::string> donors;

    friend bool operator==(const Conversion&, const Conversion&) = default;
  };

  /// Converts replicas of the model that is best off to one of the model that
  /// is worst off, in the domain where the fewest have to stop, if that evens
  /// the models out.
  void Rebalance();
  /// The fewest donors of the other model whose members and `aKept`, the
  /// domain's free targets included, suffice for one more than `aReplicas` of
  /// the model. None where they do not, or where the other model would then be
  /// hardly better off.
  std::optional<Conversion> FindConversion(
    const ReplicaModel& aModel,
    const ReplicaModel& aOther,
    int aReplicas,
    const std::string& aDomain,
    const std::vector<std::string>& aKept) const;
  /// Members of the replica that could serve the model soon.
  std::vector<std::string> UsableFor(const PlannedReplica& aReplica,
                                     const ReplicaModel& aModel) const;
  /// Tells the donors to stop, for their members to go to the replica.
  void StopDonors(const Conversion& aConversion,
                  const std::string& aReplica,
                  OrderKind aHow);
  /// Completes a replica that lost members from others of its domain; false
  /// if that is not possible or not worth it.
  bool RepairFromDonors(PlannedReplica& aReplica);
  /// The head has stopped, or cannot be told to.
  bool HasStopped(const PlannedReplica& aReplica) const;
  /// Its head says that it does not count on the members.
  bool IsLoose(const PlannedReplica& aReplica) const;
  /// A donor of the replica still runs.
  bool AwaitsDonors(const PlannedReplica& aReplica) const;
  /// What the replica gives its members to still waits for them.
  bool IsAwaited(const PlannedReplica& aReplica) const;
  /// Joins the replica's members, its donors' and free ones for its next
  /// model; false if they do not suffice.
  bool FinishConversion(PlannedReplica& aReplica);
  void BeginJoin(PlannedReplica& aReplica, std::vector<std::string> aMembers);
  void OrderJoins(const PlannedReplica& aReplica, bool aOnlyMissing);

  void PrepareSpares();
  bool HoldsNothing(const TargetRecord& aRecord) const;
  /// A model that the target has on its host, or the one that it is needed
  /// for.
  const ReplicaModel& WarmUpModelFor(const TargetRecord& aRecord) const;
  /// False if the load has to wait.
  bool WarmUp(const TargetRecord& aRecord);
  void StageOther(const TargetRecord& aRecord);
  bool MayLoad(Duration aExpected);

  void Give(OrderKind aKind,
            const PlannedReplica& aReplica,
            const std::string& aTarget);

  FleetPlanner& planner;
  const FleetPlannerView& view;
  const EngineSpec& engine;
  Instant now;
  std::vector<ReplicaOrder> orders;
};

} // namespace apricottrack

#endif
