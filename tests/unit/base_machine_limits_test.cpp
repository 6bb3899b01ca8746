#include "base/machine_limits.h"

#include <catch2/catch.hpp>

using namespace chervilpulley;

/// Guards against a gateway that doesn't know the memory of its machine, or takes the platform's over the operator's.
TEST_CASE("machine_limits_of_the_environment_hold_where_the_settings_file_has_none")
{
  settings::settings settings;
  CHECK(SetMachineLimits(settings, { "112.5", "2870" }).empty());
  CHECK(settings.gateway().memory_mb() == 112.5);
  CHECK(settings.gateway().max_descriptors() == 2870);
  CHECK(SetMachineLimits(settings, { "512", nullptr }).empty());
  CHECK(settings.gateway().memory_mb() == 112.5);
}

/// Guards against a platform that knows a limit of no machine, for which it gives no value.
TEST_CASE("machine_limits_that_are_not_given_stay_unknown")
{
  settings::settings settings;
  CHECK(SetMachineLimits(settings, { "", nullptr }).empty());
  CHECK(settings.gateway().memory_mb() == 0);
  CHECK(settings.gateway().max_descriptors() == 0);
}

/// Guards against a start with a limit that was meant otherwise.
TEST_CASE("machine_limits_that_are_no_numbers_are_faults")
{
  for (const char* value : { "112 MB", "-1", "inf", "nan", "x", "1e999" }) {
    settings::settings settings;
    INFO(value);
    CHECK(SetMachineLimits(settings, { value, value }).size() == 2);
    CHECK(settings.gateway().memory_mb() == 0);
  }
}
