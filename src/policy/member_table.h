#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "policy/engine_model.h"

/// Which backend servers there are, as far as the platform's list can be believed. It answers to an outage of the list:
/// entries that lapsed meanwhile are kept until live servers have had time to be listed again.
namespace chervilpulley::policy {

/// A backend server as it is listed.
struct backend_member
{
  backend_id mId;
  pool_name mPool;
  std::string mAddress; ///< ip:port
  failure_domain_id mDomain;
  std::string mAccelerator;
  layer_span mLayers;
  std::uint64_t mStartedAt = 0; ///< Unix milliseconds; another value is another process under the same id
  bool mLeaving = false;
};

class member_table
{
public:
  /// @param aReturnTime time after an outage within which live servers are listed again.
  explicit member_table(duration aReturnTime)
    : mReturnTime(aReturnTime)
  {
  }

  /// The whole list was read.
  void Listed(std::vector<backend_member> aMembers, instant aNow);
  void Changed(backend_member aMember);
  void Removed(const backend_id& aId, instant aNow);
  /// The list can't be read. Members are kept.
  void ListLost();
  /// Drops members whose time to be listed again has passed.
  void TimePassed(instant aNow);

  const std::map<backend_id, backend_member>& Members() const { return mMembers; }
  const backend_member* Find(const backend_id& aId) const;
  /// Counts up with every change.
  std::uint64_t Version() const { return mVersion; }

private:
  void Hold(const backend_id& aId, instant aNow);

  duration mReturnTime;
  std::map<backend_id, backend_member> mMembers;
  std::map<backend_id, instant> mHeldUntil; ///< missing ones that may come back
  bool mIsLost = true;
  std::optional<instant> mReturnEnds; ///< lapsed entries may come back until then
  std::uint64_t mVersion = 0;
};

} // namespace chervilpulley::policy
