#include <algorithm>

#include "gateway/stream_request_p.h"

/// What overload control decides about a stream: whether it is admitted, its rank while it waits, and when it may
/// start.
namespace chervilpulley::gateway {

/// Whether overload control admits the request. A stream that its caller resumes has begun and is always admitted.
bool stream_request::IsAdmitted(instant aNow)
{
  overload_control* overload = mEnvironment.mFleet->Overload(mRequest.mPool);
  mIsRanked = overload != nullptr && !mRequest.mMetadata.mLastEvent;
  if (!mIsRanked) {
    return true;
  }
  if (mRequest.mMetadata.mCallerTimeout) {
    // Time beyond the route's timeout is not used. If it counted, one caller that gives more would make all others
    // late.
    const duration patience = std::min(*mRequest.mMetadata.mCallerTimeout, mRequest.mRoute->mTimeout);
    mIsCallerRetry = overload->IsRetry(mRequest.mRoute->mName, patience, aNow);
  }
  const stream_demand demand = Demand(aNow);
  mIsLate = !policy::IsOnTimeRank(demand.mRank);
  overload->Arrived(demand, aNow);
  return overload->Admits(demand, aNow);
}

/// Whether the first event may still be within the objective, which counts from the caller's first attempt.
bool stream_request::CanBeOnTime(instant aNow) const
{
  return !mIsCallerRetry && policy::waiting_request{ mRequest.mArrived, mRequest.mRoute->mObjective }.CanBeOnTime(aNow);
}

stream_demand stream_request::Demand(instant aNow) const
{
  return { policy::RankOf(mRequest.mPriority, CanBeOnTime(aNow)),
           policy::HashWorkspace(workspace_id(mRequest.mWorkspace)),
           mRequest.mMetadata.mPromptTokens + TokensLeft() };
}

bool stream_request::StaysAdmitted(instant aNow)
{
  overload_control* overload = Overload();
  if (overload == nullptr || mIsLate) {
    return true;
  }
  const stream_demand demand = Demand(aNow);
  mIsLate = !policy::IsOnTimeRank(demand.mRank);
  return !mIsLate || overload->Admits(demand, aNow);
}

/// Whether overload control, if it decides about this request, lets it start now. What has begun is not held back.
bool stream_request::HasQuota() const
{
  const overload_control* overload = mHasBegun ? nullptr : Overload();
  return overload == nullptr || !overload->State().mIsScarce ||
         overload->MayStart(mRequest.mMetadata.mPromptTokens + TokensLeft());
}

/// Overload control of the pool if it decides about this request; otherwise nullptr.
overload_control* stream_request::Overload() const
{
  return mIsRanked ? mEnvironment.mFleet->Overload(mRequest.mPool) : nullptr;
}

} // namespace chervilpulley::gateway
