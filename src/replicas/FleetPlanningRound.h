#ifndef APRICOTTRACK_REPLICAS_FLEETPLANNINGROUND_H
#define APRICOTTRACK_REPLICAS_FLEETPLANNINGROUND_H

#include "replicas/FleetPlanner.h"
#include "replicas/RoundIndex.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace apricottrack {

/// Prefix of the names of pseudo-replicas that consist of one spare target,
/// which loads a model and never serves.
inline constexpr std::string_view kSparePrefix = "spare-";

/// Returns, as NAME/EPOCH, the current list of members.
inline std::string
KeyOf(const PlannedReplica& aReplica)
{
  return ReplicaKey({ .replica = aReplica.name, .epoch = aReplica.epoch });
}

/// One planning round of a FleetPlanner. Lives for one call of `Run`, reads the
/// view and updates the planner's state.
class FleetPlanningRound
{
public:
  FleetPlanningRound(FleetPlanner& aPlanner,
                     const FleetPlannerView& aView,
                     Instant aNow);

  /// Returns the orders to issue.
  std::vector<ReplicaOrder> Run();

private:
  /// How quickly a target can join a replica of a model, fastest first.
  enum class Warmth
  {
    /// The target holds the weights.
    kLoaded,
    /// The weights are on the target's host.
    kStaged,
    /// The weights must be loaded from the weight store.
    kCold,
  };

  const PlannerMember* FindTarget(std::string_view aId) const;
  bool IsUsable(std::string_view aId) const;
  /// Returns the replica's model, or the first model of the engine if the
  /// catalog no longer has it.
  const ReplicaModel& ModelOf(const PlannedReplica& aReplica) const;
  Warmth WarmthOf(const TargetRecord& aRecord, std::string_view aModel) const;
  /// Returns the expected time from the join order until the target is ready.
  Duration ExpectedJoinDuration(const TargetRecord& aRecord,
                                const ReplicaModel& aModel) const;

  /// Returns the membership that the target reports if it is in the replica's
  /// current epoch with the member's own rank, else null.
  const Membership* CurrentMembership(const PlannedReplica& aReplica,
                                      std::string_view aMember) const;
  /// Returns true if all members report kReady or kOpen in the replica's
  /// current epoch.
  bool AreAllMembersReady(const PlannedReplica& aReplica) const;
  /// Returns true if the replica has the model's size and all members respond
  /// and are in its current epoch.
  bool IsIntact(const PlannedReplica& aReplica) const;
  bool HasLeavingMember(const PlannedReplica& aReplica) const;
  /// Returns true if the target is usable, or responds although the store does
  /// not list it. A missing entry alone does not interrupt a running replica.
  bool CanBeMember(std::string_view aId) const;
  /// Returns true if a replica with a leaving member continues to serve. Its
  /// head must be usable. In addition, either all members respond, and those
  /// marked as leaving are so only because the store no longer lists them, or
  /// the domain has too few idle targets to replace the other members.
  bool CanKeepServing(const PlannedReplica& aReplica) const;

  /// Returns true if the target no longer does its work as a member of the
  /// replica: it is lost or gone, or is a member of another list.
  bool IsLostTo(const PlannedReplica& aReplica, const std::string& aId) const;
  /// Returns true if the replica may have requests that it can still complete
  /// and that no other target may continue, or is only silent for a moment. No
  /// order may end its work.
  bool MustFinishWork(const PlannedReplica& aReplica) const;
  /// Returns true if members are unresponsive, and all of them are only briefly
  /// silent. All members must be known.
  bool IsBrieflySilent(const PlannedReplica& aReplica) const;
  /// Orders the head to finish its requests and moves the replica to kClosing.
  void CloseGently(PlannedReplica& aReplica);
  /// Orders the head of a closing replica to abort its requests once they have
  /// had enough time, or repeats a CloseGently without effect.
  void HurryClosing(PlannedReplica& aReplica);
  /// Returns true if the targets of this list of members must not be ordered to
  /// leave it, because its head may have such requests. Orders the head to
  /// finish them.
  bool FinishesOrphanedWork(const PlannerMember& aMember);

  /// Removes state of targets and lists of members that no longer exist.
  void PruneStaleState();
  /// Adds replicas to the plan that another planner formed.
  void AdoptUnknownReplicas();
  /// Reports the current list of members as broken for
  /// `Options::brokenReportDuration`.
  void MarkBroken(const PlannedReplica& aReplica);
  /// Ends that report, as the list of members is intact after all.
  void ClearBroken(const PlannedReplica& aReplica);
  /// Moves each replica on in its life cycle, and repairs or dissolves it.
  void AdvanceReplicas();
  void AdvanceJoining(PlannedReplica& aReplica);
  void AdvanceOpening(PlannedReplica& aReplica);
  void AdvanceServing(PlannedReplica& aReplica);
  /// Orders the head to serve.
  void OrderOpen(PlannedReplica& aReplica);
  /// Repeats the joins without a reply, and issues the postponed ones, whose
  /// replicas still wait for them.
  void RepeatUnansweredJoins();
  /// Returns true if the replica ended and is to be removed from the plan.
  bool AdvanceClosing(PlannedReplica& aReplica);

  /// Replaces members that are not usable and starts to join the complete list
  /// under a new epoch. Returns false if no member is usable or the fabric
  /// domain has too few targets.
  bool Repair(PlannedReplica& aReplica);
  /// Returns the usable members that are not slow.
  std::vector<std::string> FastMembersOf(const PlannedReplica& aReplica) const;
  /// Returns true if a member is slow and the domain has enough idle targets.
  bool CanReplaceSlowMembers(const PlannedReplica& aReplica) const;
  /// Replaces the slow members by idle targets, as CanReplaceSlowMembers.
  void ReplaceSlowMembers(PlannedReplica& aReplica);
  /// Returns true if the limit of the head of this serving replica is below
  /// `Options::minHeadShare`, a usable member has none, and all other replicas
  /// of the model, at least one, are serving.
  bool CanReplaceLimitedHead(const PlannedReplica& aReplica) const;
  /// Returns true if CanReplaceLimitedHead holds and the head was not replaced
  /// within `Options::headReplacementInterval`; records the replacement.
  bool MustReplaceLimitedHead(const PlannedReplica& aReplica);
  /// Puts the usable member with the highest request limit first, so that it
  /// becomes the head: only the head receives requests.
  void PutLeastLimitedFirst(std::vector<std::string>& aMembers) const;
  /// Orders the head, if it responds, to stop immediately and moves the replica
  /// to kClosing; its members are released once the head has stopped.
  void Dissolve(PlannedReplica& aReplica);
  /// Records the current list of members as given up.
  void RetireMemberList(const PlannedReplica& aReplica);

  /// Returns the idle targets of a domain that are neither slow nor cold for
  /// the model, the fastest to join first. Before traffic, slow and cold ones
  /// are included.
  std::vector<std::string> IdleTargetsIn(std::string_view aDomain,
                                         std::string_view aModel) const;
  /// Returns the number of targets that IdleTargetsIn returns.
  int CountIdleTargetsIn(std::string_view aDomain,
                         std::string_view aModel) const;
  /// Returns true if the target is idle, is not slow and can join a replica of
  /// the model without a load. Before traffic any idle target can.
  bool IsIdleFor(const PlannerMember& aMember, std::string_view aModel) const;
  /// Returns true if the target is usable and no replica depends on it.
  bool IsIdle(const PlannerMember& aMember) const;
  /// Returns true if the target has joined, the head of its list of members
  /// reports kReady, which means that it does not serve, and no open order to
  /// the head may still take effect.
  bool HasReadyHead(const Membership& aMembership) const;
  /// Returns true if the target is in no replica or HasReadyHead holds. A
  /// target that joins another replica makes its former one unable to serve.
  bool MayJoinAnotherReplica(const TargetRecord& aRecord) const;
  /// Orders targets to leave replicas that are no longer planned or that
  /// continue without them.
  void ReleaseOrphanedTargets();
  /// Orders the target to leave its replica.
  void OrderLeave(const TargetRecord& aRecord);

  /// Returns true if a new target appeared within the last
  /// `Options::arrivalQuietTime`; before traffic only. Records arrivals.
  bool IsAwaitingArrivals();
  /// Forms the replicas that the budget lacks, then further ones for overloaded
  /// models, unless targets still arrive before traffic.
  void FormReplicas();
  /// Forms one replica of the model in the domain with the most idle targets.
  /// Returns false if no domain has enough.
  bool FormReplica(const ReplicaModel& aModel);
  /// Returns how many replicas of each model the usable targets should form.
  ReplicaCounts DesiredReplicas() const;
  /// Records the model that each target holds, for `WarmthOf`.
  void RecordHeldModels();
  /// Returns the models by descending replica size: small replicas fit into the
  /// targets that large ones leave over.
  std::vector<const ReplicaModel*> ModelsBySize() const;
  /// Returns how many further targets of the domain must load the model for one
  /// more complete replica of it; at least 1.
  int MissingTargetsFor(const ReplicaModel& aModel,
                        std::string_view aDomain) const;
  /// Counts the domain's targets outside replicas that are not cold for the
  /// model or are loading it.
  int CountSparesFor(const ReplicaModel& aModel,
                     std::string_view aDomain) const;
  /// Returns the model with the largest replicas of which the domain has fewer
  /// spare targets than replicas, or null.
  const ReplicaModel* ModelLackingSpares(std::string_view aDomain) const;
  /// Selects the model that a target without weights should load: one that has
  /// too few spare targets in the domain for repairs, unless the target could
  /// complete a replica of an overloaded model; otherwise the one for which a
  /// further complete replica costs the least load time, weighted by
  /// saturation.
  const ReplicaModel& SpareModelFor(const TargetRecord& aRecord) const;
  /// Returns true if the domain's targets get no requests until their
  /// availability zone is taken back.
  bool IsDomainEvacuated(std::string_view aDomain) const;
  /// Counts the planned replicas of the model, including those being converted
  /// to it and excluding donors and those of evacuated domains.
  int CountReplicasOf(std::string_view aModel) const;
  /// Forms replicas beyond the budget for overloaded models from spare targets.
  void FormExtraReplicas();
  /// Returns the model's saturation with this many replicas; zero without
  /// demand, infinite without replicas.
  double SaturationOf(const ReplicaModel& aModel, int aReplicaCount) const;

  /// Replicas of one fabric domain that stop so that their members can form a
  /// replica of another model.
  struct Conversion
  {
    /// Names of the replicas to stop.
    std::vector<std::string> donors;

    friend bool operator==(const Conversion&, const Conversion&) = default;
  };

  /// Converts replicas of the least saturated model to one of the most
  /// saturated model, in the domain where the fewest must stop, if that brings
  /// the saturations closer together.
  void RebalanceReplicas();
  /// Finds the fewest replicas of `aDonorModel` in the domain whose members,
  /// together with the targets `aAvailableTargets`, complete one more replica
  /// of `aModel`, which has `aReplicaCount`. Returns none if they do not
  /// suffice, if the domain is evacuated, or if `aDonorModel` would then be too
  /// saturated
  /// (`Options::maxDonorSaturationRatio`, `Options::maxDonorSaturation`).
  std::optional<Conversion> FindConversion(
    const ReplicaModel& aModel,
    const ReplicaModel& aDonorModel,
    int aReplicaCount,
    const std::string& aDomain,
    const std::vector<std::string>& aAvailableTargets) const;
  /// Returns the replica's usable members that are not cold for the model.
  std::vector<std::string> UsableMembersFor(const PlannedReplica& aReplica,
                                            const ReplicaModel& aModel) const;
  /// Orders the donors to stop serving, gently where MustFinishWork; their
  /// members then go to the replica named `aReplica`, which may be a donor
  /// itself.
  void StopDonors(const Conversion& aConversion,
                  const std::string& aReplica,
                  OrderKind aOrderKind);
  /// Stops replicas of another model in the domain to complete one that lost
  /// members. Returns false if no conversion is possible or worth its cost.
  bool RepairFromDonors(PlannedReplica& aReplica);
  /// Returns true if the head does not report that it serves or finishes
  /// requests in the current epoch, or is gone or, unless MustFinishWork,
  /// unresponsive.
  bool HasStopped(const PlannedReplica& aReplica) const;
  /// Returns true if the target is a usable member of the replica, whose head
  /// may still start to serve by an order without a reply.
  bool MustLeave(const PlannedReplica& aReplica, const std::string& aId) const;
  /// Returns true if MustLeave holds for a member.
  bool MustBeLeft(const PlannedReplica& aReplica) const;
  /// Orders the members to leave for which MustLeave holds.
  void OrderDonorToLeave(const PlannedReplica& aReplica);
  /// Returns true while a donor of this replica has not stopped serving, or its
  /// members must leave it first.
  bool IsAwaitingDonors(const PlannedReplica& aReplica) const;
  /// Returns true while the replica that receives the members of this one still
  /// waits for them.
  bool IsAwaitedByRecipient(const PlannedReplica& aReplica) const;
  /// Starts to join the replica's usable members, idle targets and its donors'
  /// members for `nextModel`, which it clears. Returns false if they do not
  /// suffice or the service has no such model.
  bool FinishConversion(PlannedReplica& aReplica);
  /// Gives the replica a new list of members and epoch, and orders the joins.
  void BeginJoin(PlannedReplica& aReplica, std::vector<std::string> aMembers);
  /// Orders the member to join, unless the head of another replica that it is
  /// in serves or may start to. It then has to leave that one first.
  void OrderJoin(const PlannedReplica& aReplica, const std::string& aId);
  /// Returns true if the target is in another replica whose head serves or may
  /// start to serve by an earlier order.
  bool IsBoundElsewhere(const PlannedReplica& aReplica,
                        const PlannerMember& aMember) const;
  /// Returns true if the list of members that the target reports is planned.
  bool IsListPlanned(const PlannerMember& aMember) const;
  /// Orders all members to join, or only those not in the current epoch.
  void OrderJoins(const PlannedReplica& aReplica, bool aOnlyMissing);

  /// Loads models on idle targets, then stages further models on hosts.
  void PrepareSpares();
  /// Returns true if the target holds the weights of none of the service's
  /// models.
  bool HoldsNoModel(const TargetRecord& aRecord) const;
  /// Selects a model that is not cold at the target: it holds it, held it last
  /// in the same process, or its host has it staged. Without one, selects the
  /// one of `SpareModelFor`.
  const ReplicaModel& ModelToWarmUp(const TargetRecord& aRecord) const;
  /// Orders an idle target to load a model. Returns false if the load limiter
  /// defers the load.
  bool WarmUp(const TargetRecord& aRecord);
  /// Orders the target to stage one model that is cold there, if any.
  void StageMissingModel(const TargetRecord& aRecord);
  /// Returns true if a load may begin now, and then records it; before traffic
  /// loads are not limited.
  bool TryBeginLoad(Duration aExpected);

  /// Adds an order to the result, unless the target is not in the view.
  void IssueOrder(OrderKind aKind,
                  const PlannedReplica& aReplica,
                  const std::string& aTarget);

  FleetPlanner& planner;
  const FleetPlannerView& view;
  const EngineSpec& engine;
  Instant now;
  RoundIndex index;
  std::vector<ReplicaOrder> orders;
};

} // namespace apricottrack

#endif
