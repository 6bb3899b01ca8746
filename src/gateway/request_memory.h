#pragma once

#include <boost/intrusive/list.hpp>

#include <cstddef>
#include <cstdint>

#include "base/ref_counted.h"
#include "chervilpulley/units.h"

/// Limits on what all callers' connections hold together: bytes, and file descriptors. Callers may send requests that
/// never end or open connections that they do not use; each stays inside the limits of one request. Single-threaded.
namespace chervilpulley::gateway {

/// Bytes that one connection holds.
struct connection_bytes
{
  std::size_t mIncomplete = 0; ///< of a request that has not arrived completely
  std::size_t mRunning = 0;    ///< of the request in progress and those pipelined behind it
  std::size_t mUnsent = 0;     ///< of responses that the caller has not taken yet
  std::size_t Sum() const { return mIncomplete + mRunning + mUnsent; }
};

/// A connection whose bytes are counted.
class memory_holder : public boost::intrusive::list_base_hook<>
{
public:
  /// Rejects the incomplete request and frees its bytes. It has not been passed on.
  virtual void RejectIncomplete() = 0;
  /// Closes the connection and frees the bytes of its responses.
  virtual void DropResponse() = 0;

protected:
  memory_holder() = default;
  ~memory_holder() = default;

private:
  friend class request_memory;
  connection_bytes mHeld;
};

/// Counters since the start of the process.
struct memory_counters
{
  std::uint64_t mRejectedRequests = 0;
  std::uint64_t mDroppedResponses = 0;
};

/// Counts the bytes of all connections. When they exceed the budget, the largest incomplete request is rejected, or if
/// there is none, the connection with the largest response that waits for its caller is closed.
class request_memory : public ref_counted
{
public:
  /// @param aMemoryMb memory of the machine; 0 if unknown.
  explicit request_memory(double aMemoryMb);

  /// Adapts the budget to the largest request that the configuration allows, in bytes with its head.
  void SetLargestRequest(std::size_t aBytes);
  /// Replaces what a connection holds. Connections, also this one, may be told to free some before this returns.
  void Update(memory_holder& aHolder, const connection_bytes& aHeld);
  /// Counts a request that has arrived completely as running; other connections may be told to free bytes for it.
  /// @return false if it must be rejected, as there are too many bytes of large requests in progress.
  bool TryRun(memory_holder& aHolder, const connection_bytes& aHeld);
  /// Forgets a connection.
  void Remove(memory_holder& aHolder);

  std::size_t Held() const { return mHeld; }
  std::size_t Budget() const { return mBudget; }
  const memory_counters& Counters() const { return mCounters; }

private:
  void Set(memory_holder& aHolder, const connection_bytes& aHeld);
  void Enforce();
  bool FreeLargest();

  std::size_t mShareOfMachine;
  std::size_t mBudget;
  std::size_t mHeld = 0;
  std::size_t mLargeRunning = 0; ///< bytes of large requests in progress
  bool mIsEnforcing = false;
  memory_counters mCounters;
  boost::intrusive::list<memory_holder> mHolders;
};

/// Bytes that a request of this size takes while it is in progress: it is kept for retries, and copied for the backend
/// server.
inline constexpr std::size_t RunningBytes(std::size_t aRequestBytes)
{
  return 2 * aRequestBytes;
}

/// Time after which a caller whose request was rejected for its bytes may retry. It is short, as another gateway can
/// take the request.
inline constexpr duration kMemoryRetryAfter = std::chrono::milliseconds(100);

/// Maximum numbers of open connections by purpose.
struct connection_limits
{
  std::size_t mCallers;
  std::size_t mControl; ///< readiness checks and metrics
  std::size_t mRelay;   ///< other gateways that read the store through this one
  std::size_t mIdle;    ///< connections to backend servers that wait for the next request
};

/// Divides the descriptors of the process. @param aMaxDescriptors as in the settings; 0 for the limit of the process,
/// which also holds if it is lower.
connection_limits DivideDescriptors(std::size_t aMaxDescriptors);

} // namespace chervilpulley::gateway
