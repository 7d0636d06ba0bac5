#ifndef APRICOTTRACK_HTTP_BYTEBUDGET_H
#define APRICOTTRACK_HTTP_BYTEBUDGET_H

#include <cstddef>

namespace apricottrack {

/// Limits the memory of all buffered response bodies of a node together. Each
/// body has a small part that is always granted, so that large bodies cannot
/// make small ones fail.
class ByteBudget
{
public:
  struct Options
  {
    std::size_t totalBytes = std::size_t{ 32 } * 1024 * 1024;
    /// Part of each body that is not counted.
    std::size_t freeBytesPerBody = std::size_t{ 64 } * 1024;
  };

  explicit ByteBudget(Options aOptions)
    : options(aOptions)
  {
  }

  /// The share of one body; returns it when destroyed. The budget must outlive
  /// it.
  class Reservation
  {
  public:
    explicit Reservation(ByteBudget& aBudget)
      : budget(aBudget)
    {
    }
    ~Reservation() { this->budget.usedBytes -= this->countedBytes; }
    Reservation(const Reservation&) = delete;
    Reservation& operator=(const Reservation&) = delete;

    /// Reserves memory for a body of `aBodyBytes` in total. Returns false, and
    /// changes nothing, if the budget is used up.
    bool TryGrowTo(std::size_t aBodyBytes);

    /// Returns the share, because the body was discarded.
    void Release();

  private:
    ByteBudget& budget;
    std::size_t countedBytes = 0;
  };

private:
  Options options;
  std::size_t usedBytes = 0;
};

} // namespace apricottrack

#endif
