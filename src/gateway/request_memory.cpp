#include "gateway/request_memory.h"

#include <sys/resource.h>

#include <algorithm>

namespace chervilpulley::gateway {

namespace {

constexpr double kBytesPerMb = 1U << 20U;
/// Memory that is assumed when the settings do not give it.
constexpr double kDefaultMemoryMb = 4096;
/// The budget is this part of the machine's memory: with 112 MB, a gateway takes 28 MB without callers, and up to 24 MB
/// of incomplete responses of backend servers are held besides; allocated memory exceeds the counted bytes.
constexpr double kPartOfMachine = 4;
/// Large requests in progress take at most this share of the budget, so that others can still be read meanwhile.
constexpr std::size_t kLargeShareNumerator = 3;
constexpr std::size_t kLargeShareDenominator = 4;
/// A request of up to this size in progress is never rejected: all callers' connections with one take less than the
/// budget.
constexpr std::size_t kSmallBytes = 16U << 10U;
/// The largest response of a plain service, which a budget must hold whatever the memory is.
constexpr std::size_t kLargestResponse = 17U << 20U;

/// Descriptors for files, libraries and the process itself.
constexpr std::size_t kReservedDescriptors = 200;
/// Of the rest, in twentieths: a connection to a backend server for each caller's, and the four parts that are left for
/// idle connections, control, other gateways, and for probes and the store.
constexpr std::size_t kParts = 20;
constexpr std::size_t kCallerParts = 8;
constexpr std::size_t kMinConnections = 8;
/// Connections of a balancer, scrapers and persons who look at the metrics.
constexpr std::size_t kMaxControl = 64;
/// More than the readers that a relay keeps waiting.
constexpr std::size_t kMaxRelay = 192;

} // namespace

request_memory::request_memory(double aMemoryMb)
  : mShareOfMachine(
      static_cast<std::size_t>((aMemoryMb > 0 ? aMemoryMb : kDefaultMemoryMb) * kBytesPerMb / kPartOfMachine))
  , mBudget(std::max(mShareOfMachine, kLargestResponse))
{
}

void request_memory::SetLargestRequest(std::size_t aBytes)
{
  const std::size_t needed = RunningBytes(aBytes) / kLargeShareNumerator * kLargeShareDenominator + kSmallBytes;
  mBudget = std::max({ mShareOfMachine, kLargestResponse, needed });
}

void request_memory::Set(memory_holder& aHolder, const connection_bytes& aHeld)
{
  const auto large = [](const connection_bytes& aBytes) { return aBytes.mRunning > kSmallBytes ? aBytes.mRunning : 0; };
  mHeld = mHeld - aHolder.mHeld.Sum() + aHeld.Sum();
  mLargeRunning = mLargeRunning - large(aHolder.mHeld) + large(aHeld);
  aHolder.mHeld = aHeld;
  const bool holds = aHeld.Sum() > 0;
  if (holds && !aHolder.is_linked()) {
    mHolders.push_back(aHolder);
  } else if (!holds && aHolder.is_linked()) {
    mHolders.erase(mHolders.iterator_to(aHolder));
  }
}

void request_memory::Update(memory_holder& aHolder, const connection_bytes& aHeld)
{
  const bool hasGrown = aHeld.Sum() > aHolder.mHeld.Sum();
  Set(aHolder, aHeld);
  if (hasGrown) {
    Enforce();
  }
}

bool request_memory::TryRun(memory_holder& aHolder, const connection_bytes& aHeld)
{
  const connection_bytes before = aHolder.mHeld;
  Set(aHolder, aHeld);
  const bool isLarge = aHeld.mRunning > kSmallBytes;
  if (isLarge && mLargeRunning > mBudget / kLargeShareDenominator * kLargeShareNumerator) {
    Set(aHolder, before);
    ++mCounters.mRejectedRequests;
    return false;
  }
  Enforce();
  return true;
}

void request_memory::Remove(memory_holder& aHolder)
{
  Set(aHolder, {});
}

/// Frees bytes until the budget holds or nothing can be freed. What connections report meanwhile does not start this
/// again.
void request_memory::Enforce()
{
  if (mIsEnforcing) {
    return;
  }
  mIsEnforcing = true;
  while (mHeld > mBudget && FreeLargest()) {
  }
  mIsEnforcing = false;
}

bool request_memory::FreeLargest()
{
  const auto largest = [this](std::size_t connection_bytes::*aKind) {
    const auto found =
      std::max_element(mHolders.begin(), mHolders.end(), [=](const memory_holder& aLeft, const memory_holder& aRight) {
        return aLeft.mHeld.*aKind < aRight.mHeld.*aKind;
      });
    return found != mHolders.end() && found->mHeld.*aKind > 0 ? &*found : nullptr;
  };
  if (memory_holder* holder = largest(&connection_bytes::mIncomplete)) {
    ++mCounters.mRejectedRequests;
    const std::size_t before = mHeld;
    holder->RejectIncomplete();
    return mHeld < before;
  }
  if (memory_holder* holder = largest(&connection_bytes::mUnsent)) {
    ++mCounters.mDroppedResponses;
    const std::size_t before = mHeld;
    holder->DropResponse();
    return mHeld < before;
  }
  return false;
}

connection_limits DivideDescriptors(std::size_t aMaxDescriptors)
{
  rlimit limit{};
  const bool isKnown = ::getrlimit(RLIMIT_NOFILE, &limit) == 0 && limit.rlim_cur != RLIM_INFINITY;
  std::size_t all = aMaxDescriptors;
  if (isKnown) {
    const auto ofProcess = static_cast<std::size_t>(limit.rlim_cur);
    all = all == 0 ? ofProcess : std::min(all, ofProcess);
  }
  const std::size_t part = (all > kReservedDescriptors ? all - kReservedDescriptors : 0) / kParts;
  return { std::max(kMinConnections, part * kCallerParts),
           std::clamp(part, kMinConnections, kMaxControl),
           std::clamp(part, kMinConnections, kMaxRelay),
           std::max(kMinConnections, part) };
}

} // namespace chervilpulley::gateway
