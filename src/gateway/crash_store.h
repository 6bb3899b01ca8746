#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "gateway/crash_watch.h"
#include "gateway/store_sync.h"

/// Keeps what gateways have found out about crashes of backend servers in the platform's store, so that a request that
/// crashes servers stays blocked when all gateways are killed. Each gateway writes one object of its own, and reads
/// those of all at its start.
namespace chervilpulley::gateway {

class crash_store : public ref_counted
{
public:
  crash_store(boost::asio::io_context& aContext,
              instance_id aSelf,
              ref<store_client> aStore,
              ref<crash_watch> aCrashes);

  void Start();
  /// Whether the findings of all gateways have been read; until then blocked requests may be admitted.
  bool IsRead() const { return mIsRead; }

private:
  boost::asio::awaitable<void> Run();
  /// The functions that return bool return false if a call failed and has to be repeated.
  boost::asio::awaitable<bool> Read();
  boost::asio::awaitable<void> RemoveExpired(wire::record aObject);
  boost::asio::awaitable<void> AwaitChanges();
  boost::asio::awaitable<bool> Write();
  boost::asio::awaitable<bool> Remove();
  void MergeOwn(const wire::record& aObject);
  void FindingsChanged(bool aIsUrgent);

  boost::asio::io_context& mContext;
  instance_id mSelf;
  ref<store_client> mStore;
  ref<crash_watch> mCrashes;
  boost::asio::steady_timer mTimer;
  std::optional<instant> mWriteAt;                 ///< when changes of the findings are written
  std::optional<policy::store_revision> mRevision; ///< of this gateway's object
  bool mHasSent = false;                           ///< a write, which may have taken effect
  bool mIsRead = false;
};

} // namespace chervilpulley::gateway
