#include "admin/principal.h"
#include "support/memory_backend.h"

#include <catch2/catch.hpp>

using namespace chervilpulley;
using namespace chervilpulley::admin;
using namespace chervilpulley::test;

namespace {

constexpr std::string_view kBootstrapKey = "boot.strap";

struct principal_fixture
{
  principal Of(role aRole) const { return { "someone", aRole, workspace_id(aRole == ROLE_CLERK ? "drafting" : "") }; }

  std::string Refusal(const admin_result<void>& aResult) const
  {
    return aResult ? std::string() : aResult.error().mMessage;
  }

  void Put(const operation& aOperation)
  {
    REQUIRE(mBackend.Write(MakeChange("c" + std::to_string(++mChanges), { aOperation }), "test"));
  }

  admin_result<principal> Authenticate(std::string_view aAuthorization)
  {
    return admin::Authenticate(*mBackend.View(), kBootstrapKey, aAuthorization);
  }

  memory_backend mBackend;
  int mChanges = 0;
};

struct apply_case
{
  role mRole;
  operation mOperation;
  std::string mRefusal; ///< empty when it is allowed
};

operation MovedRoute()
{
  operation moved = PutRoute("drafting", "a");
  moved.mutable_object()->mutable_route()->set_workspace("rota");
  return moved;
}

operation NamelessRoute()
{
  operation nameless = PutRoute("drafting", "a");
  nameless.mutable_ref()->set_name("drafting");
  return nameless;
}

operation PoolUnderRouteName()
{
  operation pool = PutPool("x");
  pool.mutable_ref()->set_kind(OBJECT_KIND_ROUTE);
  pool.mutable_ref()->set_name("drafting/a");
  return pool;
}

operation DeleteRoute(const std::string& aName)
{
  operation removal;
  removal.set_op(CHANGE_OP_DELETE);
  removal.mutable_ref()->set_kind(OBJECT_KIND_ROUTE);
  removal.mutable_ref()->set_name(aName);
  return removal;
}

} // namespace

TEST_CASE_METHOD(principal_fixture, "check_apply_of_each_role_allows_its_own_operations_only")
{
  const std::string clerk = "role \"clerk\" of workspace \"drafting\" may not change ";
  const std::string needed = "; role \"operator\" is needed";
  const std::vector<apply_case> cases{
    { ROLE_OPERATOR, PutPool("x"), "" },
    { ROLE_OPERATOR, PutRoute("rota", "a"), "" },
    { ROLE_READER, PutRoute("drafting", "a"), "role \"reader\" may not apply changes; role \"operator\" is needed" },
    { ROLE_UNSPECIFIED, PutPool("x"), "role \"none\" may not apply changes; role \"operator\" is needed" },
    { ROLE_CLERK, PutRoute("drafting", "a"), "" },
    { ROLE_CLERK, DeleteRoute("drafting/a"), "" },
    { ROLE_CLERK, DeleteRoute("rota/a"), clerk + "route \"a\" in workspace \"rota\"" + needed },
    { ROLE_CLERK, PutRoute("rota", "a"), clerk + "route \"a\" in workspace \"rota\"" + needed },
    { ROLE_CLERK, PutWorkspace("drafting", 9), clerk + "workspace \"drafting\"" + needed },
    { ROLE_CLERK, MovedRoute(), clerk + "route \"a\" in workspace \"drafting\"" + needed },
    { ROLE_CLERK, PoolUnderRouteName(), clerk + "route \"a\" in workspace \"drafting\"" + needed },
    { ROLE_CLERK, NamelessRoute(), clerk + "route \"drafting\"" + needed },
  };
  for (const apply_case& each : cases) {
    CHECK(Refusal(CheckApply(Of(each.mRole), MakeChange("c", { each.mOperation }))) == each.mRefusal);
  }
}

TEST_CASE_METHOD(principal_fixture, "check_apply_of_clerk_with_one_foreign_operation_refuses_the_change")
{
  const change mixed = MakeChange("c", { PutRoute("drafting", "a"), PutRoute("rota", "a") });
  REQUIRE_FALSE(CheckApply(Of(ROLE_CLERK), mixed));
}

TEST_CASE_METHOD(principal_fixture, "check_read_of_clerk_allows_own_routes_only")
{
  object_ref own;
  own.set_kind(OBJECT_KIND_ROUTE);
  own.set_name("drafting/a");
  object_ref foreign = own;
  foreign.set_name("drafting2/a");
  REQUIRE(CheckGet(Of(ROLE_CLERK), own));
  REQUIRE_FALSE(CheckGet(Of(ROLE_CLERK), foreign));
  REQUIRE(CheckGet(Of(ROLE_READER), foreign));
  list_request list;
  list.set_kind(OBJECT_KIND_ROUTE);
  REQUIRE(
    Refusal(CheckList(Of(ROLE_CLERK), list)) ==
    "role \"clerk\" of workspace \"drafting\" may not list routes of other workspaces; role \"reader\" is needed");
  list.set_workspace("drafting");
  REQUIRE(CheckList(Of(ROLE_CLERK), list));
}

TEST_CASE_METHOD(principal_fixture, "check_inspect_and_drain_of_lower_roles_name_the_role_needed")
{
  REQUIRE(Refusal(CheckInspect(Of(ROLE_CLERK), "audit trail")) ==
          "role \"clerk\" may not read the audit trail; role \"reader\" is needed");
  REQUIRE(Refusal(CheckDrain(Of(ROLE_READER))) ==
          "role \"reader\" may not drain instances; role \"operator\" is needed");
  REQUIRE(CheckInspect(Of(ROLE_READER), "status"));
  REQUIRE(CheckDrain(Of(ROLE_OPERATOR)));
}

TEST_CASE_METHOD(principal_fixture, "authenticate_bootstrap_key_is_operator_until_one_exists")
{
  REQUIRE(Authenticate("Bearer boot.strap").value().mRole == ROLE_OPERATOR);
  Put(PutKey("rhys", ROLE_READER, "s1"));
  REQUIRE(Authenticate("Bearer boot.strap"));
  Put(PutKey("alice", ROLE_OPERATOR, "s2"));
  REQUIRE(Authenticate("Bearer boot.strap").error().mCode == admin_errc::BadKey);
  REQUIRE(Authenticate("Bearer alice.s2").value().mName == "alice");
}

TEST_CASE_METHOD(principal_fixture, "authenticate_wrong_keys_are_refused")
{
  Put(PutKey("alice", ROLE_OPERATOR, "s2"));
  for (const char* each :
       { "", "Bearer ", "alice.s2", "bearer alice.s2", "Bearer alice.s1", "Bearer alice", "Bearer bob.s2" }) {
    CHECK_FALSE(Authenticate(each));
  }
  REQUIRE_FALSE(admin::Authenticate(*memory_backend().View(), "", "Bearer "));
}
