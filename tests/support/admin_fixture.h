#pragma once

#include <catch2/catch.hpp>

#include "admin/admin_server.h"
#include "cli/admin_client.h"
#include "support/memory_backend.h"

namespace chervilpulley::test {

/// An admin server over an in-memory log that holds the keys alice.s (operator), rhys.s (reader) and carys.s (clerk
/// of workspace "drafting"), a pool "rota" and a workspace "drafting".
class admin_fixture
{
public:
  admin_fixture()
  {
    Put({ PutKey("alice", admin::ROLE_OPERATOR, "s"), PutKey("rhys", admin::ROLE_READER, "s"), PutPool("rota") });
    Put({ PutWorkspace("drafting", 1, "w") });
    Put({ PutKey("carys", admin::ROLE_CLERK, "s", "drafting") });
    auto started = admin::admin_server::Start({ { "127.0.0.1", 0 }, "boot.strap" }, mBackend);
    REQUIRE(started);
    mServer = started.value();
  }

  void Put(const std::vector<admin::operation>& aOperations)
  {
    REQUIRE(mBackend.Write(MakeChange("setup-" + std::to_string(++mChanges), aOperations), "setup"));
  }

  ref<cli::admin_client> Client(const std::string& aKey) const
  {
    return cli::admin_client::Create({ mServer->LocalEndpoint(), aKey, std::chrono::seconds(5) });
  }

  memory_backend mBackend;
  ref<admin::admin_server> mServer;

private:
  int mChanges = 0;
};

} // namespace chervilpulley::test
