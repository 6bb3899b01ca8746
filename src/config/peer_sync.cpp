#include "config/peer_sync.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/this_coro.hpp>

#include <algorithm>
#include <set>
#include <utility>

#include "base/clock.h"
#include "config/config_encoding.h"

namespace chervilpulley::config {

namespace {

/// Number of failure domains that must have a change besides the writer's, and that must respond to a process that
/// starts in an outage.
constexpr std::size_t kDomainQuorum = 2;
/// For this time after a failure, a source is tried after all others.
constexpr duration kFailedSourceTime = std::chrono::seconds(10);
/// Maximum age of a live list that is told to peers.
constexpr duration kMaxListAge = std::chrono::hours(24);

std::uint32_t Milliseconds(duration aTime)
{
  return static_cast<std::uint32_t>(std::chrono::duration_cast<std::chrono::milliseconds>(aTime).count());
}

} // namespace

peer_sync::peer_sync(ref<peer_client> aClient, ref<config_replica> aReplica, const config_store_options& aOptions)
  : mClient(std::move(aClient))
  , mReplica(std::move(aReplica))
  , mOptions(aOptions)
  , mDirectory({ aOptions.mInstance, aOptions.mFailureDomain })
{
}

void peer_sync::SetInstances(const std::vector<platform::live_instance>& aInstances, instant aRequestedAt)
{
  mListReadAt = std::max(mListReadAt.load(), aRequestedAt);
  if (mInstances.Set(aInstances)) {
    mDirectory.Set(aInstances);
  }
}

rpc::list_difference peer_sync::ListDifferenceSince(std::uint64_t aDigest) const
{
  auto difference = mInstances.DifferenceSince(aDigest);
  const duration age = std::min<duration>(Now() - mListReadAt.load(), kMaxListAge);
  difference.mAgeMs = Milliseconds(std::chrono::ceil<std::chrono::milliseconds>(age));
  return difference;
}

void peer_sync::SetInstancesCallback(instances_callback aCallback)
{
  std::lock_guard lock(mCallbackMutex);
  mInstancesCallback = std::move(aCallback);
}

duration peer_sync::ListAge() const
{
  return Now() - mListConfirmedAt.load();
}

boost::asio::awaitable<bool> peer_sync::Pull(instance_id aSource, duration aWait, bool aWithList)
{
  const ref<peer_sync> self(this);
  const auto endpoint = mDirectory.EndpointOf(aSource);
  if (!endpoint) {
    co_return false;
  }
  duration wait = aWait;
  while (true) {
    const instant requestedAt = Now();
    rpc::pull_config_request request;
    request.mAfterRevision = mReplica->Revision().Value();
    request.mInstance = mOptions.mInstance.Str();
    request.mFailureDomain = mOptions.mFailureDomain.Str();
    request.mWaitMs = Milliseconds(wait);
    request.mReports = mRollout.CollectForSource(aSource, Now());
    request.mWantsList = aWithList;
    request.mListDigest = mInstances.Digest();
    auto reply = co_await mClient->PullConfig(*endpoint, request, mOptions.mPeerTimeout);
    RecordHealth(aSource, reply.has_value() && !(aWithList && IsOutdated(aSource, reply.value().mList)));
    if (!reply) {
      mRollout.MarkUndelivered();
      co_return false;
    }
    if (aWithList) {
      ApplyListDifference(reply.value().mList, requestedAt);
    }
    const bool progressed = ApplyReply(reply.value());
    if (!progressed || reply.value().mRevision <= mReplica->Revision().Value()) {
      co_return true;
    }
    wait = duration(0);
  }
}

boost::asio::awaitable<bool> peer_sync::PullFromDomain(duration aWait)
{
  const ref<peer_sync> self(this);
  for (const auto& source : SourcesByHealth()) {
    if (co_await Pull(source, aWait, true)) {
      co_return true;
    }
  }
  co_return false;
}

boost::asio::awaitable<bool> peer_sync::PullFromOtherDomain(duration aWait)
{
  const ref<peer_sync> self(this);
  const auto plan = mDirectory.Plan();
  std::vector<instance_id> relays;
  for (const auto& domain : plan->OtherDomains()) {
    for (const auto& relay : plan->RelaysOf(domain)) {
      relays.push_back(relay);
    }
  }
  if (relays.empty()) {
    co_return false;
  }
  const auto chosen = relays[mNextRelay.fetch_add(1) % relays.size()];
  co_return co_await Pull(chosen, aWait, false);
}

boost::asio::awaitable<bool> peer_sync::PullFromAllDomains()
{
  const ref<peer_sync> self(this);
  const auto executor = co_await boost::asio::this_coro::executor;
  const auto plan = mDirectory.Plan();
  auto responses = MakeRef<net::mailbox<failure_domain_id>>(executor);
  auto domains = plan->OtherDomains();
  domains.push_back(mOptions.mFailureDomain);
  std::set<std::string> queried;
  std::size_t calls = 0;
  for (const auto& domain : domains) {
    for (const auto& relay : plan->RelaysOf(domain)) {
      if (relay != mOptions.mInstance) {
        boost::asio::co_spawn(executor, PullAndNotify(relay, domain, responses), boost::asio::detached);
        queried.insert(domain.Str());
        ++calls;
      }
    }
  }
  std::set<std::string> responded;
  const auto deadline = Now() + 2 * mOptions.mPeerTimeout;
  for (std::size_t i = 0; i < calls; ++i) {
    const auto domain = co_await responses->Pop(deadline);
    if (!domain) {
      break;
    }
    if (domain->IsValid()) {
      responded.insert(domain->Str());
    }
  }
  co_return !queried.empty() && responded.size() >= std::min(kDomainQuorum, queried.size());
}

boost::asio::awaitable<bool> peer_sync::ConfirmPropagation(revision_number aRevision)
{
  const ref<peer_sync> self(this);
  const auto executor = co_await boost::asio::this_coro::executor;
  const auto plan = mDirectory.Plan();
  const auto domains = plan->OtherDomains();
  if (domains.size() < kDomainQuorum) {
    co_return false;
  }
  auto responses = MakeRef<net::mailbox<failure_domain_id>>(executor);
  for (const auto& domain : domains) {
    for (const auto& relay : plan->RelaysOf(domain)) {
      boost::asio::co_spawn(executor, ConfirmAtRelay(relay, domain, aRevision, responses), boost::asio::detached);
    }
  }
  std::set<std::string> holders;
  const auto deadline = Now() + mOptions.mPropagationTimeout;
  while (holders.size() < kDomainQuorum) {
    const auto domain = co_await responses->Pop(deadline);
    if (!domain) {
      co_return false;
    }
    holders.insert(domain->Str());
  }
  co_return true;
}

boost::asio::awaitable<std::vector<rpc::instance_report>> peer_sync::CollectReports()
{
  const ref<peer_sync> self(this);
  const auto executor = co_await boost::asio::this_coro::executor;
  const auto plan = mDirectory.Plan();
  auto responses = MakeRef<net::mailbox<std::vector<rpc::instance_report>>>(executor);
  auto domains = plan->OtherDomains();
  domains.push_back(mOptions.mFailureDomain);
  std::size_t calls = 0;
  for (const auto& domain : domains) {
    for (const auto& relay : plan->RelaysOf(domain)) {
      if (relay != mOptions.mInstance) {
        boost::asio::co_spawn(executor, FetchReports(relay, responses), boost::asio::detached);
        ++calls;
      }
    }
  }
  std::unordered_map<std::string, rpc::instance_report> newest;
  const auto merge = [&](const std::vector<rpc::instance_report>& aReports) {
    for (const auto& report : aReports) {
      auto [place, inserted] = newest.emplace(report.mInstance, report);
      if (!inserted && report.mAgeMs < place->second.mAgeMs) {
        place->second = report;
      }
    }
  };
  merge(mRollout.All(Now()));
  merge({ OwnReport() });
  const auto deadline = Now() + 2 * mOptions.mPeerTimeout;
  for (std::size_t i = 0; i < calls; ++i) {
    const auto reports = co_await responses->Pop(deadline);
    if (!reports) {
      break;
    }
    merge(*reports);
  }
  std::vector<rpc::instance_report> all;
  all.reserve(newest.size());
  for (auto& entry : newest) {
    all.push_back(std::move(entry.second));
  }
  co_return all;
}

rpc::instance_report peer_sync::OwnReport() const
{
  return { mOptions.mInstance.Str(), mOptions.mFailureDomain.Str(), mReplica->Revision().Value(), 0 };
}

bool peer_sync::ApplyReply(const rpc::pull_config_reply& aReply)
{
  const auto before = mReplica->Revision();
  if (!aReply.mSnapshot.empty()) {
    admin::config_state state;
    const auto bytes = FromBase64(aReply.mSnapshot);
    if (bytes && state.ParseFromString(*bytes)) {
      mReplica->Install(state);
    }
  }
  for (const auto& text : aReply.mEntries) {
    admin::log_entry entry;
    const auto bytes = FromBase64(text);
    if (!bytes || !entry.ParseFromString(*bytes)) {
      break;
    }
    mReplica->Accept(entry);
  }
  return mReplica->Revision() != before;
}

bool peer_sync::IsOutdated(const instance_id& aSource, const rpc::list_difference& aDifference) const
{
  const auto relays = mDirectory.Plan()->RelaysOf(mOptions.mFailureDomain);
  const bool isRelay = std::find(relays.begin(), relays.end(), aSource) != relays.end();
  // Below the relays each level adds up to the wait of a pull.
  const duration maxAge = isRelay ? mOptions.mListTimeout / 2 : mOptions.mListTimeout;
  return std::chrono::milliseconds(aDifference.mAgeMs) > maxAge;
}

void peer_sync::ApplyListDifference(const rpc::list_difference& aDifference, instant aRequestedAt)
{
  if (aDifference.mDigest == 0) {
    return; // the source has no live list
  }
  mListConfirmedAt = Now();
  const instant readAt = aRequestedAt - std::chrono::milliseconds(aDifference.mAgeMs);
  mListReadAt = std::max(mListReadAt.load(), readAt);
  if (!mInstances.Apply(aDifference)) {
    return;
  }
  const auto list = mInstances.List();
  mDirectory.Set(list);
  std::lock_guard lock(mCallbackMutex);
  if (mInstancesCallback) {
    mInstancesCallback(list);
  }
}

std::vector<instance_id> peer_sync::SourcesByHealth()
{
  auto sources = mDirectory.Plan()->Sources();
  const auto now = Now();
  std::lock_guard lock(mHealthMutex);
  std::erase_if(mFailedAt, [&](const auto& aFailed) { return now - aFailed.second > kFailedSourceTime; });
  std::stable_partition(sources.begin(), sources.end(), [&](const instance_id& aSource) {
    return mFailedAt.find(aSource) == mFailedAt.end();
  });
  return sources;
}

void peer_sync::RecordHealth(const instance_id& aSource, bool aIsHealthy)
{
  std::lock_guard lock(mHealthMutex);
  if (aIsHealthy) {
    mFailedAt.erase(aSource);
  } else {
    mFailedAt[aSource] = Now();
  }
}

boost::asio::awaitable<void> peer_sync::PullAndNotify(instance_id aSource,
                                                      failure_domain_id aDomain,
                                                      domain_mailbox aMailbox)
{
  const ref<peer_sync> self(this);
  const bool responded = co_await Pull(std::move(aSource), duration(0), false);
  aMailbox->Push(responded ? aDomain : failure_domain_id());
}

boost::asio::awaitable<void> peer_sync::ConfirmAtRelay(instance_id aRelay,
                                                       failure_domain_id aDomain,
                                                       revision_number aRevision,
                                                       domain_mailbox aMailbox)
{
  const ref<peer_sync> self(this);
  const auto endpoint = mDirectory.EndpointOf(aRelay);
  if (!endpoint) {
    co_return;
  }
  rpc::pull_config_request request;
  request.mAfterRevision = aRevision.Value() - 1;
  request.mInstance = mOptions.mInstance.Str();
  request.mFailureDomain = mOptions.mFailureDomain.Str();
  request.mWaitMs = Milliseconds(mOptions.mPropagationTimeout);
  request.mReports = { OwnReport() };
  auto reply = co_await mClient->PullConfig(*endpoint, request, mOptions.mPeerTimeout);
  if (reply && reply.value().mRevision >= aRevision.Value()) {
    aMailbox->Push(aDomain);
  }
}

boost::asio::awaitable<void> peer_sync::FetchReports(instance_id aRelay, report_mailbox aMailbox)
{
  const ref<peer_sync> self(this);
  std::vector<rpc::instance_report> reports;
  if (const auto endpoint = mDirectory.EndpointOf(aRelay)) {
    auto status = co_await mClient->GetStatus(*endpoint, mOptions.mPeerTimeout);
    if (status) {
      reports = std::move(status.value().mInstances);
    }
  }
  aMailbox->Push(std::move(reports));
}

} // namespace chervilpulley::config
