#include "gateway/peer_hints.h"

#include <boost/json.hpp>

#include "base/clock.h"
#include "base/decision_log.h"

namespace chervilpulley::gateway {

namespace {

namespace asio = boost::asio;
using udp = asio::ip::udp;

constexpr std::string_view kLostField = "lost";
/// An engine is asked at most once in this time, however many hints come.
constexpr duration kAskPause = std::chrono::milliseconds(500);

} // namespace

peer_hints::peer_hints(asio::io_context& aContext, ref<fleet> aFleet, ref<engine_inquiries> aInquiries)
  : mFleet(std::move(aFleet))
  , mInquiries(std::move(aInquiries))
  , mSocket(aContext)
{
}

bool peer_hints::Start(const net::endpoint& aAddress)
{
  boost::system::error_code error;
  const udp::endpoint local(asio::ip::make_address(aAddress.mAddress, error), aAddress.mPort);
  mSocket.open(local.protocol(), error);
  mSocket.bind(local, error);
  mSocket.non_blocking(true, error);
  if (error) {
    return false;
  }
  Receive();
  return true;
}

void peer_hints::SetPeers(std::vector<net::endpoint> aPeers)
{
  mPeers.clear();
  for (const net::endpoint& peer : aPeers) {
    boost::system::error_code error;
    const auto address = asio::ip::make_address(peer.mAddress, error);
    if (!error && mPeers.size() < kMostTold) {
      mPeers.emplace_back(address, peer.mPort);
    }
  }
}

void peer_hints::TellLost(const backend_id& aEngine)
{
  const std::string datagram = boost::json::serialize(boost::json::object{ { kLostField, aEngine.Str() } });
  std::size_t unsent = 0;
  for (const udp::endpoint& peer : mPeers) {
    boost::system::error_code error;
    mSocket.send_to(asio::buffer(datagram), peer, 0, error);
    unsent += error ? 1 : 0;
  }
  log_line("loss_told", log_rank::Notable)
    .Text("backend", aEngine.Str())
    .Count("gateways", mPeers.size())
    .Count("unsent", unsent);
}

void peer_hints::Receive()
{
  mSocket.async_receive_from(
    asio::buffer(mBuffer),
    mFrom,
    [self = ref<peer_hints>(this)](const boost::system::error_code& aError, std::size_t aSize) {
      if (!self->mSocket.is_open()) {
        return;
      }
      if (!aError) {
        self->Take(std::string_view(self->mBuffer.data(), aSize));
      }
      self->Receive();
    });
}

void peer_hints::Take(std::string_view aDatagram)
{
  boost::system::error_code error;
  const auto value = boost::json::parse(boost::json::string_view(aDatagram.data(), aDatagram.size()), error);
  const auto* object = error ? nullptr : value.if_object();
  const auto* lost = object == nullptr ? nullptr : object->if_contains(kLostField);
  if (lost == nullptr || !lost->is_string()) {
    log_line("hint_unreadable", log_rank::Notable).Count("bytes", aDatagram.size());
    return;
  }
  const backend_id engine{ std::string(lost->as_string()) };
  const instant now = Now();
  if (!mFleet->IsEngine(engine) || mFleet->IsBelievedLost(engine, now)) {
    return;
  }
  instant& askedAt = mAskedAt[engine];
  if (now - askedAt < kAskPause) {
    return;
  }
  askedAt = now;
  mInquiries->Ask(engine, [self = ref<peer_hints>(this), engine](const auto& aReport) {
    log_line("loss_hint_checked", log_rank::Notable)
      .Text("backend", engine.Str())
      .Text("outcome", aReport ? "answers" : "lost");
    if (!aReport) {
      self->mFleet->BelieveLost(engine, Now(), loss_source::Hint);
    }
  });
}

} // namespace chervilpulley::gateway
