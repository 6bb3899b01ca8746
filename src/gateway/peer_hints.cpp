#include "gateway/peer_hints.h"

#include <boost/json.hpp>

#include <algorithm>
#include <optional>
#include <utility>

#include "base/clock.h"
#include "base/decision_log.h"
#include "gateway/permit_messages.h"

namespace chervilpulley::gateway {

namespace {

namespace asio = boost::asio;
using udp = asio::ip::udp;

constexpr std::string_view kLostField = "lost";
constexpr std::string_view kMovingField = "moving";
constexpr std::string_view kSlowField = "slow";
/// Traits of a run that ended with its server, which is identified by the two fields below.
constexpr std::string_view kCrashedByField = "crashed_by";
constexpr std::string_view kServerField = "server";
constexpr std::string_view kStartedAtField = "started_at";
constexpr std::string_view kAgeField = "ms_ago"; ///< time since the run ended, had output, or crashed the first server
constexpr std::string_view kBlockedField = "blocked";
constexpr std::string_view kCrashesField = "crashes";
constexpr std::string_view kForField = "for_ms";
constexpr std::string_view kClearedField = "cleared";
constexpr std::string_view kAskField = "ask"; ///< asks for hints of the kind that is its value
/// Maximum number of traits that are read from one hint.
constexpr std::size_t kMaxTraits = 64;
/// Maximum age that is read from a hint; no crash is remembered for longer.
constexpr std::uint64_t kMaxAgeMs = 600'000;
/// An engine is probed at most once in this time, however many hints arrive.
constexpr duration kProbeInterval = std::chrono::milliseconds(500);
/// A gateway that got a hint about a slow engine sends none about it for this time. It is twice the interval at which
/// slow engines are probed, so that about one gateway keeps sending the hint and the others stay quiet.
constexpr duration kSlowHintQuietTime = kSlowProbeInterval * 2;

std::uint64_t WholeMilliseconds(duration aTime)
{
  return static_cast<std::uint64_t>(
    std::max<std::int64_t>(0, std::chrono::duration_cast<std::chrono::milliseconds>(aTime).count()));
}

std::optional<std::uint64_t> NumberIn(const boost::json::object& aHint, std::string_view aField)
{
  const auto* value = aHint.if_contains(aField);
  if (value == nullptr || !(value->is_uint64() || (value->is_int64() && value->get_int64() >= 0))) {
    return std::nullopt;
  }
  return value->to_number<std::uint64_t>();
}

/// The traits in a field: a list, or a single one as sent by earlier releases. Nothing when the field is malformed.
std::optional<std::vector<run_trait>> TraitsIn(const boost::json::object& aHint, std::string_view aField)
{
  const auto* value = aHint.if_contains(aField);
  std::vector<run_trait> traits;
  if (const auto single = NumberIn(aHint, aField)) {
    traits.emplace_back(*single);
  } else if (value != nullptr && value->is_array() && value->get_array().size() <= kMaxTraits) {
    for (const auto& each : value->get_array()) {
      if (!each.is_uint64() && !(each.is_int64() && each.get_int64() >= 0)) {
        return std::nullopt;
      }
      traits.emplace_back(each.to_number<std::uint64_t>());
    }
  }
  return traits.empty() ? std::nullopt : std::optional(std::move(traits));
}

boost::json::object BlockHint(const policy::trait_block& aBlock, instant aNow)
{
  return { { kBlockedField, aBlock.mTrait.Value() },
           { kCrashesField, aBlock.mCrashes },
           { kForField, WholeMilliseconds(aBlock.mTimeLeft) },
           { kAgeField, WholeMilliseconds(aNow - aBlock.mSince) } };
}

boost::json::array ToJson(const std::vector<run_trait>& aTraits)
{
  boost::json::array values;
  for (const run_trait trait : aTraits) {
    values.emplace_back(trait.Value());
  }
  return values;
}

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
  const std::vector<udp::endpoint> former = std::exchange(mPeers, {});
  for (const net::endpoint& peer : aPeers) {
    boost::system::error_code error;
    const auto address = asio::ip::make_address(peer.mAddress, error);
    if (!error && mPeers.size() < kMaxPeers) {
      mPeers.emplace_back(address, peer.mPort);
    }
  }
  mNextAsked = mPeers.empty() ? 0 : (mNextAsked + 1) % mPeers.size();
  std::vector<udp::endpoint> asked;
  for (std::size_t index = 0; index < mPeers.size(); ++index) {
    const bool isNew = std::find(former.begin(), former.end(), mPeers[index]) == former.end();
    if (isNew || index == mNextAsked) {
      asked.push_back(mPeers[index]);
    }
  }
  Send({ { kAskField, kBlockedField } }, asked);
}

/// Sends the blocks of this gateway to the sender of the last datagram.
void peer_hints::AnswerAsker()
{
  const instant now = Now();
  const std::vector<udp::endpoint> asker{ mFrom };
  for (const policy::trait_block& block : mBlocks ? mBlocks(now) : std::vector<policy::trait_block>()) {
    Send(BlockHint(block, now), asker);
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

void peer_hints::NotifyCrash(const policy::interrupted_run& aRun, instant aNow)
{
  Broadcast({ { kCrashedByField, ToJson(aRun.mTraits) },
              { kServerField, aRun.mServer.mId.Str() },
              { kStartedAtField, aRun.mServer.mStartedAt },
              { kAgeField, WholeMilliseconds(aNow - aRun.mAt) } });
}

void peer_hints::NotifyBlocked(const policy::trait_block& aBlock, instant aNow)
{
  Broadcast(BlockHint(aBlock, aNow));
}

void peer_hints::NotifyCleared(const std::vector<run_trait>& aTraits, duration aAge)
{
  Broadcast({ { kClearedField, ToJson(aTraits) }, { kAgeField, WholeMilliseconds(aAge) } });
}

void peer_hints::OnCrash(std::function<void(const policy::interrupted_run&)> aCrashed,
                         std::function<void(const policy::trait_block&)> aBlocked,
                         std::function<void(const std::vector<run_trait>&, instant)> aCleared)
{
  mOnCrash = std::move(aCrashed);
  mOnBlocked = std::move(aBlocked);
  mOnCleared = std::move(aCleared);
}

void peer_hints::Broadcast(const boost::json::object& aHint)
{
  Send(aHint, mPeers);
}

void peer_hints::Send(const boost::json::object& aHint, const std::vector<udp::endpoint>& aTo)
{
  if (aTo.empty()) {
    return;
  }
  const std::string datagram = boost::json::serialize(aHint);
  std::size_t unsent = 0;
  for (const udp::endpoint& peer : aTo) {
    boost::system::error_code error;
    mSocket.send_to(asio::buffer(datagram), peer, 0, error);
    unsent += error ? 1 : 0;
  }
  log_line(log_event::HintTold).Text("hint", datagram).Count("gateways", aTo.size()).Count("unsent", unsent);
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
  const auto textIn = [&](std::string_view aField) {
    const auto* value = object == nullptr ? nullptr : object->if_contains(aField);
    return value != nullptr && value->is_string() ? std::string(value->as_string()) : std::string();
  };
  const backend_id lost(textIn(kLostField));
  const backend_id moving(textIn(kMovingField));
  const backend_id slow(textIn(kSlowField));
  if (lost.IsValid()) {
    HandleLost(lost);
  } else if (moving.IsValid()) {
    mFleet->MarkMoving(moving, Now());
  } else if (slow.IsValid()) {
    HandleSlow(slow);
  } else if (textIn(kAskField) == kBlockedField) {
    AnswerAsker();
  } else if (object == nullptr || !(HandleAnnouncement(*object) || HandlePermits(*object) || HandleCrash(*object))) {
    log_line(log_event::HintUnreadable).Count("bytes", aDatagram.size());
  }
}

void peer_hints::AskPermits(const net::endpoint& aCoordinator, const permit_ask& aAsk)
{
  boost::system::error_code error;
  const auto address = asio::ip::make_address(aCoordinator.mAddress, error);
  if (!error) {
    SendMessage(EncodePermitAsk(aAsk), { address, aCoordinator.mPort });
  }
}

/// Sends a message that is repeated if it is lost, and not logged: there are a few each second.
void peer_hints::SendMessage(const boost::json::object& aMessage, const udp::endpoint& aTo)
{
  boost::system::error_code ignored;
  mSocket.send_to(asio::buffer(boost::json::serialize(aMessage)), aTo, 0, ignored);
}

bool peer_hints::HandlePermits(const boost::json::object& aMessage)
{
  const instant now = Now();
  if (const auto ask = DecodePermitAsk(aMessage)) {
    SendMessage(EncodePermitGrant(mFleet->GrantPermits(*ask, now)), mFrom);
    return true;
  }
  if (const auto grant = DecodePermitGrant(aMessage)) {
    mFleet->Limits().Granted({ mFrom.address().to_string(), mFrom.port() }, *grant, now);
    return true;
  }
  return false;
}

void peer_hints::SendAnnouncement(const std::vector<net::endpoint>& aTo, std::string_view aDatagram)
{
  for (const net::endpoint& peer : aTo) {
    boost::system::error_code error;
    const auto address = asio::ip::make_address(peer.mAddress, error);
    if (!error) {
      mSocket.send_to(asio::buffer(aDatagram), { address, peer.mPort }, 0, error);
    }
  }
}

bool peer_hints::HandleAnnouncement(const boost::json::object& aMessage)
{
  auto announcement = DecodeAnnouncement(aMessage);
  if (!announcement) {
    return false;
  }
  mFleet->Announcements().Received({ mFrom.address().to_string(), mFrom.port() }, std::move(*announcement), Now());
  return true;
}

bool peer_hints::HandleCrash(const boost::json::object& aHint)
{
  if (!mOnCrash) {
    return false;
  }
  const instant at = Now() - std::chrono::milliseconds(std::min(NumberIn(aHint, kAgeField).value_or(0), kMaxAgeMs));
  if (const auto cleared = TraitsIn(aHint, kClearedField)) {
    mOnCleared(*cleared, at);
    return true;
  }
  const auto blocked = NumberIn(aHint, kBlockedField);
  const auto blockedFor = NumberIn(aHint, kForField);
  if (blocked && blockedFor) {
    const std::uint64_t longest = WholeMilliseconds(policy::kMaxBlockTime);
    const std::size_t crashes = NumberIn(aHint, kCrashesField).value_or(0);
    mOnBlocked({ run_trait(*blocked), crashes, std::chrono::milliseconds(std::min(*blockedFor, longest)), at });
    return true;
  }
  auto crashedBy = TraitsIn(aHint, kCrashedByField);
  const auto startedAt = NumberIn(aHint, kStartedAtField);
  const auto* server = aHint.if_contains(kServerField);
  if (!crashedBy || !startedAt || server == nullptr || !server->is_string()) {
    return false;
  }
  mOnCrash({ std::move(*crashedBy), { backend_id(std::string(server->as_string())), *startedAt }, at, {} });
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
