#include "gateway/peer_hints.h"

#include <boost/json.hpp>

#include "base/clock.h"
#include "base/decision_log.h"

namespace chervilpulley::gateway {

namespace {

namespace asio = boost::asio;
using udp = asio::ip::udp;

constexpr std::string_view kLostField = "lost";
constexpr std::string_view kMovingField = "moving";
constexpr std::string_view kSlowField = "slow";
/// Digest of a request that crashed a server; the two fields below identify the server by its id and start time.
constexpr std::string_view kCrashedByField = "crashed_by";
constexpr std::string_view kServerField = "server";
constexpr std::string_view kStartedAtField = "started_at";
constexpr std::string_view kClearedField = "cleared";
/// An engine is probed at most once in this time, however many hints arrive.
constexpr duration kProbeInterval = std::chrono::milliseconds(500);
/// A gateway that got a hint about a slow engine sends none about it for this time. It is twice the interval at which
/// slow engines are probed, so that about one gateway keeps sending the hint and the others stay quiet.
constexpr duration kSlowHintQuietTime = kSlowProbeInterval * 2;

} // namespace

peer_hints::peer_hints(asio::io_context& aContext, ref<fleet> aFleet, ref<engine_probes> aProbes)
  : mFleet(std::move(aFleet))
  , mProbes(std::move(aProbes))
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

std::string peer_hints::LocalAddress() const
{
  boost::system::error_code error;
  const auto local = mSocket.local_endpoint(error);
  return error ? "" : net::endpoint{ local.address().to_string(), local.port() }.Str();
}

void peer_hints::SetPeers(std::vector<net::endpoint> aPeers)
{
  mPeers.clear();
  for (const net::endpoint& peer : aPeers) {
    boost::system::error_code error;
    const auto address = asio::ip::make_address(peer.mAddress, error);
    if (!error && mPeers.size() < kMaxPeers) {
      mPeers.emplace_back(address, peer.mPort);
    }
  }
}

void peer_hints::NotifyLost(const backend_id& aEngine)
{
  Broadcast({ { kLostField, aEngine.Str() } });
}

void peer_hints::NotifySlow(const backend_id& aEngine)
{
  // Repeated while the engine is slow, for gateways that start in the meantime. A gateway that has just received this
  // hint from another one does not send it.
  if (Now() - mSlowReceivedAt[aEngine] >= kSlowHintQuietTime) {
    Broadcast({ { kSlowField, aEngine.Str() } });
  }
}

void peer_hints::NotifyMoving(const backend_id& aEngine)
{
  Broadcast({ { kMovingField, aEngine.Str() } });
}

void peer_hints::NotifyCrash(const policy::crash_finding& aFinding)
{
  Broadcast({ { kCrashedByField, aFinding.mDigest.Value() },
              { kServerField, aFinding.mServer.mId.Str() },
              { kStartedAtField, aFinding.mServer.mStartedAt } });
}

void peer_hints::NotifyCleared(request_digest aDigest)
{
  Broadcast({ { kClearedField, aDigest.Value() } });
}

void peer_hints::OnCrash(std::function<void(const policy::crash_finding&)> aCrashed,
                         std::function<void(request_digest)> aCleared)
{
  mOnCrash = std::move(aCrashed);
  mOnCleared = std::move(aCleared);
}

void peer_hints::Broadcast(const boost::json::object& aHint)
{
  const std::string datagram = boost::json::serialize(aHint);
  std::size_t unsent = 0;
  for (const udp::endpoint& peer : mPeers) {
    boost::system::error_code error;
    mSocket.send_to(asio::buffer(datagram), peer, 0, error);
    unsent += error ? 1 : 0;
  }
  log_line(log_event::HintTold).Text("hint", datagram).Count("gateways", mPeers.size()).Count("unsent", unsent);
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
        self->HandleDatagram(std::string_view(self->mBuffer.data(), aSize));
      }
      self->Receive();
    });
}

void peer_hints::HandleDatagram(std::string_view aDatagram)
{
  boost::system::error_code error;
  const auto value = boost::json::parse(boost::json::string_view(aDatagram.data(), aDatagram.size()), error);
  const auto* object = error ? nullptr : value.if_object();
  const auto engineIn = [&](std::string_view aField) {
    const auto* value = object == nullptr ? nullptr : object->if_contains(aField);
    return backend_id(value != nullptr && value->is_string() ? std::string(value->as_string()) : std::string());
  };
  const backend_id lost = engineIn(kLostField);
  const backend_id moving = engineIn(kMovingField);
  const backend_id slow = engineIn(kSlowField);
  if (lost.IsValid()) {
    HandleLost(lost);
  } else if (moving.IsValid()) {
    mFleet->MarkMoving(moving, Now());
  } else if (slow.IsValid()) {
    HandleSlow(slow);
  } else if (object == nullptr || !HandleCrash(*object)) {
    log_line(log_event::HintUnreadable).Count("bytes", aDatagram.size());
  }
}

bool peer_hints::HandleCrash(const boost::json::object& aHint)
{
  const auto numberIn = [&](std::string_view aField) -> std::optional<std::uint64_t> {
    const auto* value = aHint.if_contains(aField);
    if (value == nullptr || !(value->is_int64() || value->is_uint64())) {
      return std::nullopt;
    }
    return value->to_number<std::uint64_t>();
  };
  if (const auto cleared = numberIn(kClearedField); cleared && mOnCleared) {
    mOnCleared(request_digest(*cleared));
    return true;
  }
  const auto crashedBy = numberIn(kCrashedByField);
  const auto startedAt = numberIn(kStartedAtField);
  const auto* server = aHint.if_contains(kServerField);
  if (!crashedBy || !startedAt || server == nullptr || !server->is_string() || !mOnCrash) {
    return false;
  }
  mOnCrash({ request_digest(*crashedBy), { backend_id(std::string(server->as_string())), *startedAt } });
  return true;
}

void peer_hints::HandleSlow(const backend_id& aEngine)
{
  if (mFleet->IsEngine(aEngine)) {
    mSlowReceivedAt[aEngine] = Now();
    mProbes->ProbeSuspect(aEngine);
  }
}

void peer_hints::HandleLost(const backend_id& aEngine)
{
  const instant now = Now();
  if (!mFleet->IsEngine(aEngine) || mFleet->IsLostOrUnlisted(aEngine, now)) {
    return;
  }
  instant& probedAt = mProbedAt[aEngine];
  if (now - probedAt < kProbeInterval) {
    return;
  }
  probedAt = now;
  mProbes->Probe(aEngine, [self = ref<peer_hints>(this), engine = aEngine](const auto& aReport) {
    log_line(log_event::LossHintChecked).Text("backend", engine.Str()).Text("outcome", aReport ? "answers" : "lost");
    if (!aReport) {
      self->mFleet->MarkLost(engine, Now(), loss_source::Hint);
    }
  });
}

} // namespace chervilpulley::gateway
