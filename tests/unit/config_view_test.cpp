#include "config/api_key.h"
#include "config/config_view.h"

#include <catch2/catch.hpp>

using namespace chervilpulley;
using namespace chervilpulley::config;

namespace {

struct config_view_fixture
{
  config_view_fixture()
  {
    mState.set_revision(7);
    auto* workspace = mState.add_objects()->mutable_workspace();
    workspace->set_name("tegid");
    workspace->add_api_key_hashes(HashKey("first"));
    workspace->add_api_key_hashes(HashKey("second"));
    auto* route = mState.add_objects()->mutable_route();
    route->set_workspace("tegid");
    route->set_name("winch");
    auto* key = mState.add_objects()->mutable_operator_key();
    key->set_name("ann");
    key->set_key_hash(HashKey("secret"));
  }

  admin::config_state mState;
};

} // namespace

TEST_CASE_METHOD(config_view_fixture, "config_view_of_state_finds_each_object")
{
  const auto view = MakeConfigView(mState);
  REQUIRE(view->Revision() == revision_number(7));
  REQUIRE(view->FindWorkspace(workspace_id("tegid")) != nullptr);
  REQUIRE(view->FindRoute(workspace_id("tegid"), route_name("winch")) != nullptr);
  REQUIRE(view->FindRoute(workspace_id("other"), route_name("winch")) == nullptr);
  REQUIRE(view->FindModel(model_name("tegid")) == nullptr);
  REQUIRE(view->HasOperatorKeys());
}

TEST_CASE_METHOD(config_view_fixture, "config_view_key_of_workspace_is_accepted_only_whole")
{
  const auto view = MakeConfigView(mState);
  REQUIRE(view->WorkspaceOfKey("tegid.second")->name() == "tegid");
  for (const char* key : { "", ".", "tegid", "tegid.", ".second", "tegid.secon", "tegid.second2", "other.second" }) {
    CAPTURE(key);
    REQUIRE(view->WorkspaceOfKey(key) == nullptr);
  }
}

TEST_CASE_METHOD(config_view_fixture, "config_view_key_of_operator_is_accepted_only_whole")
{
  const auto view = MakeConfigView(mState);
  REQUIRE(view->FindOperatorKey("ann.secret")->name() == "ann");
  REQUIRE(view->FindOperatorKey("ann.secret2") == nullptr);
  REQUIRE(view->FindOperatorKey("bob.secret") == nullptr);
}

TEST_CASE_METHOD(config_view_fixture, "config_objects_change_leaves_older_copy_unchanged")
{
  policy::config_objects older;
  for (const auto& object : mState.objects()) {
    older.Put(object);
  }
  policy::config_objects newer = older;
  newer.Erase(admin::OBJECT_KIND_ROUTE, "tegid/winch");
  admin::object pool;
  pool.mutable_pool()->set_name("winches");
  newer.Put(pool);
  REQUIRE(older.Find(admin::OBJECT_KIND_ROUTE, "tegid/winch") != nullptr);
  REQUIRE(older.Count(admin::OBJECT_KIND_POOL) == 0);
  REQUIRE(newer.Find(admin::OBJECT_KIND_ROUTE, "tegid/winch") == nullptr);
  REQUIRE(newer.Count(admin::OBJECT_KIND_POOL) == 1);
  REQUIRE(newer.Find(admin::OBJECT_KIND_WORKSPACE, "tegid") == older.Find(admin::OBJECT_KIND_WORKSPACE, "tegid"));
}
