#ifndef APRICOTTRACK_HTTP_BYTEBUDGET_H
#define APRICOTTRACK_HTTP_BYTEBUDGET_H

#include "base/Counters.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <string>
#include <string_view>

namespace apricottrack {

/// Limits the memory of all requests and buffered responses of a node together.
/// Each has a small part that is always granted, so that large ones cannot make
/// small ones fail. When the budget is used up, the oldest unfinished request
/// of the address that holds most is revoked.
class ByteBudget
{
public:
  struct Options
  {
    std::size_t totalBytes = std::size_t{ 32 } * 1024 * 1024;
    /// Part of each body that is not counted.
    std::size_t freeBytesPerBody = std::size_t{ 64 } * 1024;

    friend bool operator==(const Options&, const Options&) = default;
  };

  struct Counts
  {
    /// Unfinished requests that were ended to make room.
    std::int64_t revoked = 0;
    /// Reservations that could not grow.
    std::int64_t refused = 0;

    friend bool operator==(const Counts&, const Counts&) = default;
  };

  explicit ByteBudget(Options aOptions)
    : options(aOptions)
  {
  }
  ByteBudget(const ByteBudget&) = delete;
  ByteBudget& operator=(const ByteBudget&) = delete;

  const Counts& GetCounts() const { return this->counts; }
  std::size_t UsedBytes() const { return this->usedBytes; }
  /// Sets the metrics of the counts and of the bytes in use.
  void ExportCounts(Counters& aCounters) const;

  class Reservation;

private:
  /// The unfinished requests of one address, oldest first.
  struct Holder
  {
    std::size_t bytes = 0;
    std::list<Reservation*> unfinished;
  };
  using Holders = std::map<std::string, Holder, std::less<>>;

  /// Revokes unfinished requests until `aBytes` are unused, or `aAsking` is
  /// revoked. Returns false, and revokes none, if that were not enough.
  bool MakeRoom(std::size_t aBytes, const Reservation& aAsking);

  Options options;
  Counts counts;
  std::size_t usedBytes = 0;
  /// Part of the used bytes that unfinished requests hold.
  std::size_t revocableBytes = 0;
  Holders holders;
};

/// The share of one request or response; returns it when destroyed. The budget
/// must outlive it.
class ByteBudget::Reservation
{
public:
  /// The share of something that cannot be revoked.
  explicit Reservation(ByteBudget& aBudget)
    : budget(aBudget)
  {
  }

  /// The share of an unfinished request from the address `aHolder`, which must
  /// outlive it. `aOnRevoke` frees the memory and ends the request; it must not
  /// destroy the reservation.
  Reservation(ByteBudget& aBudget,
              std::string_view aHolder,
              std::function<void()> aOnRevoke)
    : budget(aBudget)
    , holderName(aHolder)
    , onRevoke(std::move(aOnRevoke))
  {
  }
  ~Reservation() { this->Release(); }
  Reservation(const Reservation&) = delete;
  Reservation& operator=(const Reservation&) = delete;

  /// Reserves memory of `aBytes` in total. Returns false, and changes nothing,
  /// if the budget is used up or the reservation is revoked.
  bool TryGrowTo(std::size_t aBytes);

  /// Keeps the share from being revoked, because the request is complete.
  void Finish();

  /// Returns the share, because the memory was freed.
  void Release();

  bool IsRevoked() const { return this->isRevoked; }

private:
  friend class ByteBudget;

  bool IsUnfinished() const { return this->onRevoke != nullptr; }
  /// Adds to the holder's bytes.
  void AddToHolder(std::size_t aBytes);
  /// Removes the share from the holder's bytes.
  void LeaveHolder();
  void Revoke();

  ByteBudget& budget;
  std::string_view holderName;
  std::function<void()> onRevoke;
  std::size_t countedBytes = 0;
  bool isRevoked = false;
  /// Both are valid while an unfinished request has counted bytes.
  Holders::iterator holder;
  std::list<Reservation*>::iterator position;
};

} // namespace apricottrack

#endif
