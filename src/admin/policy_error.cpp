#include "admin/policy_error.h"

namespace chervilpulley::admin {

namespace {

admin_errc CodeOf(policy::change_errc aCode)
{
  switch (aCode) {
    case policy::change_errc::NotFound:
      return admin_errc::NotFound;
    case policy::change_errc::AlreadyExists:
    case policy::change_errc::Conflict:
      return admin_errc::Conflict;
    case policy::change_errc::Invalid:
    case policy::change_errc::Referenced:
      return admin_errc::Invalid;
  }
  return admin_errc::Invalid;
}

} // namespace

admin_error FromPolicy(const policy::change_error& aError)
{
  return { CodeOf(aError.mCode), aError.mMessage };
}

admin_error FromPolicy(const policy::write_error& aError)
{
  switch (aError.mCode) {
    case policy::write_errc::Refused:
      return { CodeOf(aError.mRefusal), aError.mMessage };
    case policy::write_errc::Conflict:
      return { admin_errc::Conflict, aError.mMessage };
    case policy::write_errc::Unavailable:
      return { admin_errc::Unavailable, aError.mMessage };
    case policy::write_errc::Unknown:
      return { admin_errc::Unknown, aError.mMessage };
  }
  return { admin_errc::Unknown, aError.mMessage };
}

} // namespace chervilpulley::admin
