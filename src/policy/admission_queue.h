#pragma once

#include <array>
#include <boost/intrusive/list.hpp>
#include <optional>
#include <unordered_map>

#include "base/result.h"
#include "chervilpulley/policy_types.h"
#include "policy/drain_rate.h"

/// Admission of requests to one backend server: a bounded queue, shared fairly by workspaces.
namespace chervilpulley::policy {

/// Names a request while it waits.
using admission_ticket = strong_number<struct admission_ticket_tag>;

/// Priorities of one workspace; higher ones go first.
inline constexpr std::size_t kPriorityLevels = 4;
/// Least weight of a workspace; lower ones are raised to it.
inline constexpr double kMinWeight = 0.05;
/// Part of the measured drain rate that the forecast counts on.
inline constexpr double kForecastRateFraction = 0.7;
/// Cost that a workspace of weight 1 may use in one round.
inline constexpr double kRoundQuantum = 512.0;

/// What asks for admission.
struct admission_request
{
  workspace_id mWorkspace;
  double mWeight = 1.0; ///< of the workspace, from the configuration
  token_count mPromptTokens;
  token_count mOutputTokens;                  ///< at most
  std::uint32_t mPriority = 0;                ///< clamped to kPriorityLevels - 1
  duration mFirstTokenAfterStart{ 0 };        ///< expected time from its start to its first token
  std::optional<instant> mFirstTokenDeadline; ///< none: waits as long as it takes
};

/// Why a request is not admitted.
enum class admission_refusal
{
  QueueFull,           ///< the workspace holds its part of the queue already
  DeadlineMissed,      ///< its first token would come after the deadline, because of those before it
  DeadlineUnreachable, ///< its deadline can't be met even by an idle backend server
};

/// A final refusal; nothing of the request was run.
struct admission_error
{
  admission_refusal mReason;
  std::optional<duration> mRetryAfter; ///< when the same request would be admitted at the present rate; none: never
};

/// A request that left the queue.
struct admission_grant
{
  admission_ticket mTicket;
  bool mExpired = false; ///< its deadline has passed: answer it "not run"
};

/// Cost of a request, in answer tokens; prompt tokens are batched, and so cheaper.
double AdmissionCost(token_count aPromptTokens, token_count aAnswerTokens);

/// Deficit round robin over workspaces by cost, with weights; priorities inside a workspace. The room that a workspace
/// may fill shrinks with the free room (dynamic thresholds), so none can shut out the others. Offer and Cancel are
/// O(1), Next is O(1) amortised for costs up to kRoundQuantum.
class admission_queue
{
public:
  explicit admission_queue(std::size_t aCapacity);
  admission_queue(const admission_queue&) = delete;
  admission_queue& operator=(const admission_queue&) = delete;
  ~admission_queue();

  /// Takes the request in, or refuses it for good.
  result<admission_ticket, admission_error> Offer(const admission_request& aRequest, instant aNow);
  /// The next request to run, or one that has expired; call it whenever the backend server has room.
  std::optional<admission_grant> Next(instant aNow);
  /// Removes a waiting request; tells whether it was waiting.
  bool Cancel(admission_ticket aTicket);

  std::size_t Size() const { return mWaiting.size(); }
  std::size_t Capacity() const { return mCapacity; }
  /// Sum of the costs of all that wait.
  double Cost() const { return mCost; }
  /// Wait, at kForecastRateFraction, of a request that is offered now; 0 while the rate is unknown.
  duration PredictedWait(const admission_request& aRequest) const;

private:
  using hook = boost::intrusive::list_base_hook<>;
  struct workspace_queue;
  struct waiting : hook
  {
    admission_ticket mTicket;
    workspace_queue* mQueue = nullptr;
    std::size_t mLevel = 0;
    double mCost = 0.0;
    std::optional<instant> mDeadline;
  };
  struct workspace_queue : hook
  {
    workspace_id mWorkspace;
    double mWeight = 1.0;
    double mDeficit = 0.0;
    std::size_t mCount = 0;
    std::array<double, kPriorityLevels> mCost{};
    std::array<boost::intrusive::list<waiting>, kPriorityLevels> mLevels;
  };

  workspace_queue* Find(const workspace_id& aWorkspace);
  const workspace_queue* Find(const workspace_id& aWorkspace) const;
  workspace_queue& FindOrCreate(const admission_request& aRequest, instant aNow);
  double CostAhead(const admission_request& aRequest) const;
  bool HasCapacity(const admission_request& aRequest) const;
  duration TimeUntilCapacity(const admission_request& aRequest) const;
  std::optional<admission_error> Check(const admission_request& aRequest, instant aNow) const;
  static waiting& Head(workspace_queue& aQueue);
  void Remove(waiting& aWaiting);

  std::size_t mCapacity;
  admission_ticket mLastTicket;
  double mCost = 0.0;
  double mWeight = 0.0; ///< of all workspaces that wait
  drain_rate mRate;
  std::unordered_map<admission_ticket, waiting> mWaiting;
  std::unordered_map<workspace_id, workspace_queue> mQueues;
  boost::intrusive::list<workspace_queue> mActiveQueues;
};

} // namespace chervilpulley::policy
