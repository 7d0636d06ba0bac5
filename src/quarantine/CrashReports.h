#ifndef APRICOTTRACK_QUARANTINE_CRASHREPORTS_H
#define APRICOTTRACK_QUARANTINE_CRASHREPORTS_H

#include "apricottrack/Time.h"

#include <string>
#include <vector>

/// What nodes report about crashed targets to the node that attributes the
/// crashes, and what they receive from it.
namespace apricottrack {

/// A request whose target broke the connection before the response was
/// complete.
struct LostRequest
{
  std::string target;
  /// Ids of the shared parts of its prompt, in order, then its RequestIdentity.
  std::vector<std::string> parts;
  /// Id of the caller's attempt.
  std::string attempt;
  /// From sending the request to its loss.
  Duration runTime = Duration::zero();
  /// Time since the loss.
  Duration age = Duration::zero();

  friend bool operator==(const LostRequest&, const LostRequest&) = default;
};

/// Number of responses that show a prompt part, or a whole request, to be
/// sound: complete ones, and those that went on after the time in which a
/// target crashes.
struct PartAnswers
{
  std::string part;
  int count = 0;

  friend bool operator==(const PartAnswers&, const PartAnswers&) = default;
};

/// Prompt parts that crash targets, or the identity of a request that does.
/// Requests that have all of them are refused
/// for the remaining time. There are several if the crashes do not show which
/// one is at fault.
struct QuarantinedParts
{
  /// Sorted.
  std::vector<std::string> parts;
  Duration remaining = Duration::zero();

  friend bool operator==(const QuarantinedParts&,
                         const QuarantinedParts&) = default;
};

/// What a node reports to one that collects reports of crashes.
struct CrashReport
{
  std::string node;
  /// Since the last report that the collector has answered; all recent ones for
  /// a new collector.
  std::vector<LostRequest> lostRequests;
  /// Numbers of the sender's answers for its suspected parts.
  std::vector<PartAnswers> partAnswers;
  /// The sender's quarantine, for a new collector.
  std::vector<QuarantinedParts> quarantinedParts;

  friend bool operator==(const CrashReport&, const CrashReport&) = default;
};

/// Reply to a CrashReport.
struct CrashVerdict
{
  /// Parts whose answers the receiver should count.
  std::vector<std::string> suspectedParts;
  std::vector<QuarantinedParts> quarantinedParts;

  friend bool operator==(const CrashVerdict&, const CrashVerdict&) = default;
};

} // namespace apricottrack

#endif
