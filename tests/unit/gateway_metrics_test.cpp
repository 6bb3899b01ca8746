#include "gateway/gateway_metrics.h"

#include <catch2/catch.hpp>

#include <cstdlib>
#include <fstream>
#include <regex>
#include <set>
#include <sstream>

using namespace chervilpulley;
using namespace chervilpulley::gateway;

namespace {

std::set<std::string> MetricNamesIn(const std::string& aText)
{
  static const std::regex kName("gateway_[a-z_]+[a-z]");
  std::set<std::string> names;
  for (auto found = std::sregex_iterator(aText.begin(), aText.end(), kName); found != std::sregex_iterator(); ++found) {
    std::string name = found->str();
    for (const std::string_view suffix : { "_bucket", "_count", "_sum" }) {
      if (name.ends_with(suffix)) {
        name.resize(name.size() - suffix.size());
      }
    }
    names.insert(name);
  }
  return names;
}

std::string ReadSource(const std::string& aFile)
{
  const char* source = std::getenv("CHERVILPULLEY_SOURCE");
  REQUIRE(source != nullptr);
  std::ifstream file(std::string(source) + "/" + aFile);
  REQUIRE(file);
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

std::set<std::string> MetricsOfGateway()
{
  const auto metrics = gateway_metrics::Create();
  metrics->StoreCall(true, duration(1));
  metrics->OrderGiven(true);
  return MetricNamesIn(metrics->Text());
}

} // namespace

TEST_CASE("gateway_metrics_named_in_alert_rules_and_dashboard_exist")
{
  const std::set<std::string> known = MetricsOfGateway();
  for (const std::string file : { "examples/platform/alerts.yml", "examples/platform/dashboard.json" }) {
    const std::set<std::string> named = MetricNamesIn(ReadSource(file));
    CHECK(named.size() >= 8);
    for (const std::string& name : named) {
      INFO(file + ": " + name);
      CHECK(known.contains(name));
    }
  }
}

TEST_CASE("gateway_metrics_are_all_explained_to_operators")
{
  const std::string page = ReadSource("docs/OPERATIONS.md");
  for (const std::string& name : MetricsOfGateway()) {
    INFO(name);
    CHECK(page.find(name) != std::string::npos);
  }
}
