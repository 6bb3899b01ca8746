#include "gateway/store_relay.h"

#include "base/clock.h"

#include <algorithm>

#include "gateway/store_sync.h"

namespace chervilpulley::gateway {

waiting_reader::waiting_reader(boost::asio::io_context& aContext,
                               ref<caller_session> aSession,
                               ref<store_cache> aCache,
                               const relay_request& aRelayRequest)
  : mSession(std::move(aSession))
  , mCache(std::move(aCache))
  , mRequest(aRelayRequest)
  , mArrived(BootNow())
  , mTimer(aContext)
{
}

void waiting_reader::Start()
{
  mSession->SetHandler(ref<request_handler>(this));
  mTimer.expires_after(std::min(mRequest.mWait, kMaxRelayWait));
  mTimer.async_wait([self = ref<waiting_reader>(this)](const boost::system::error_code& aError) {
    if (!aError) {
      self->Respond();
    }
  });
}

void waiting_reader::Respond()
{
  const instant now = BootNow();
  End(net::JsonReply(200, EncodeRelayResponse({ mCache->UpdatesSince(mRequest.mPosition, now), now - mArrived })));
}

void waiting_reader::Refuse()
{
  net::http_reply reply;
  reply.mStatus = 503;
  End(std::move(reply));
}

void waiting_reader::End(net::http_reply aReply)
{
  const ref<waiting_reader> self(this);
  if (const ref<caller_session> session = std::exchange(mSession, nullptr)) {
    Forget();
    session->Respond(std::move(aReply));
  }
}

void waiting_reader::Forget()
{
  mSession.reset();
  mTimer.cancel();
  if (is_linked()) {
    unlink();
  }
}

store_relay::store_relay(boost::asio::io_context& aContext,
                         ref<store_cache> aCache,
                         std::function<bool()> aMayServe,
                         std::size_t aMaxConnections)
  : mContext(aContext)
  , mCache(std::move(aCache))
  , mMayServe(std::move(aMayServe))
  , mMaxConnections(aMaxConnections)
{
  mLimits.mMaxBodyBytes = kMaxRelayBodyBytes;
}

store_relay::~store_relay() = default;

bool store_relay::Start(const net::endpoint& aAddress)
{
  mListener = caller_listener::Open(mContext, aAddress, ref<session_host>(this));
  if (!mListener) {
    return false;
  }
  mListener->Accept();
  mCache->OnUpdates([self = ref<store_relay>(this)] { self->RespondToReaders(); });
  return true;
}

void store_relay::Leave()
{
  mIsLeaving = true;
  while (!mReaders.empty()) {
    const ref<waiting_reader> reader(&mReaders.front());
    reader->Refuse();
  }
}

void store_relay::Handle(const ref<caller_session>& aSession, net::http_request aRequest)
{
  const auto request = DecodeRelayRequest(aRequest);
  if (!request) {
    net::http_reply reply;
    reply.mStatus = 400;
    aSession->Respond(std::move(reply));
    return;
  }
  const auto reader = MakeRef<waiting_reader>(mContext, aSession, mCache, *request);
  if (mIsLeaving || !mCache->IsComplete() || !mMayServe() || mReaders.size() >= kMaxReaders) {
    reader->Refuse();
  } else if (reader->HasUpdates()) {
    reader->Respond();
  } else {
    mReaders.push_back(*reader);
    reader->Start();
  }
}

void store_relay::RespondToReaders()
{
  // A reader that gets a response sends its next request, which may join the list before this loop ends.
  for (std::size_t left = mReaders.size(); left > 0 && !mReaders.empty(); --left) {
    const ref<waiting_reader> reader(&mReaders.front());
    if (reader->HasUpdates()) {
      reader->Respond();
    } else {
      mReaders.splice(mReaders.end(), mReaders, mReaders.begin());
    }
  }
}

} // namespace chervilpulley::gateway
