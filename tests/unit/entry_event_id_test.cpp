#include "entry/event_id.h"

#include <catch2/catch.hpp>

#include <set>
#include <vector>

#include "base/random.h"

using namespace chervilpulley;
using entry::event_id;
using entry::ReadEventId;
using entry::WriteEventId;

namespace {

struct event_id_fixture
{
  const std::string mKey = "shared";
  const event_id mId = Id("r-1", 7, "sidecar-1", "tegid");

  static event_id Id(const std::string& aRequest,
                     std::uint64_t aNext,
                     const std::string& aHead,
                     const std::string& aWorkspace)
  {
    return { request_id(aRequest), token_position(aNext), instance_id(aHead), workspace_id(aWorkspace) };
  }

  void CheckReadsBack(const event_id& aId) const
  {
    const std::string text = WriteEventId(aId, mKey);
    INFO(text);
    const auto read = ReadEventId(text, mKey);
    REQUIRE(read);
    CHECK(read->mRequest == aId.mRequest);
    CHECK(read->mNext == aId.mNext);
    CHECK(read->mHead == aId.mHead);
    CHECK(read->mWorkspace == aId.mWorkspace);
    CHECK(text.find_first_of("\r\n") == std::string::npos);
    CHECK(text.find('\0') == std::string::npos);
  }

  /// Appends a valid signature, which only a holder of the key can compute.
  std::string Signed(const std::string& aText) const { return aText + "~" + HmacSha256Hex(mKey, aText).substr(0, 32); }
};

} // namespace

TEST_CASE_METHOD(event_id_fixture, "event_id_is_read_back")
{
  CheckReadsBack(mId);
  CheckReadsBack(Id("r", 0, "s", "w"));
  CheckReadsBack(Id("r", UINT64_MAX, "s", "w"));
}

TEST_CASE_METHOD(event_id_fixture, "event_id_with_separators_inside_names_is_read_back")
{
  const std::vector<std::string> names = { "a~b", "~", "~~~", "a%7eb", "%", "%%7E", "a\nb", std::string("a\0b", 3) };
  for (const std::string& name : names) {
    CheckReadsBack(Id(name, 1, "s", "w"));
    CheckReadsBack(Id("r", 1, name, "w"));
    CheckReadsBack(Id("r", 1, "s", name));
    CheckReadsBack(Id(name, 1, name, name));
  }
}

TEST_CASE_METHOD(event_id_fixture, "event_id_of_names_that_share_a_separator_differs")
{
  const std::set<std::string> texts = { WriteEventId(Id("r", 1, "a~b", "c"), mKey),
                                        WriteEventId(Id("r", 1, "a", "b~c"), mKey),
                                        WriteEventId(Id("r~1", 1, "a", "c"), mKey),
                                        WriteEventId(Id("r", 1, "a%7eb", "c"), mKey) };
  CHECK(texts.size() == 4);
}

TEST_CASE_METHOD(event_id_fixture, "event_id_truncated_anywhere_is_refused")
{
  const std::string text = WriteEventId(mId, mKey);
  for (std::size_t size = 0; size < text.size(); ++size) {
    CHECK_FALSE(ReadEventId(text.substr(0, size), mKey));
    CHECK_FALSE(ReadEventId(text.substr(text.size() - size), mKey));
  }
}

TEST_CASE_METHOD(event_id_fixture, "event_id_with_any_byte_changed_is_refused")
{
  const std::string text = WriteEventId(mId, mKey);
  for (std::size_t at = 0; at < text.size(); ++at) {
    for (const char replaced : { '~', '0', 'x', '\0', '\xff' }) {
      std::string forged = text;
      forged[at] = replaced;
      CHECK((forged == text || !ReadEventId(forged, mKey)));
    }
  }
  CHECK_FALSE(ReadEventId(text + "0", mKey));
  CHECK_FALSE(ReadEventId(text + "~", mKey));
  CHECK_FALSE(ReadEventId(" " + text, mKey));
}

TEST_CASE_METHOD(event_id_fixture, "event_id_of_another_key_or_workspace_is_refused")
{
  const std::string text = WriteEventId(mId, mKey);
  CHECK_FALSE(ReadEventId(text, "other"));
  CHECK_FALSE(ReadEventId(text, ""));
  std::string other = text;
  other.replace(other.find("tegid"), 5, "other");
  CHECK_FALSE(ReadEventId(other, mKey));
}

TEST_CASE_METHOD(event_id_fixture, "event_id_with_valid_signature_and_invalid_content_is_refused")
{
  const std::vector<std::string> texts = { "",
                                           "~~~",
                                           "r~1~s",
                                           "r~1~s~w~x",
                                           "r~~s~w",
                                           "r~x~s~w",
                                           "r~-1~s~w",
                                           "r~1x~s~w",
                                           "r~ 1~s~w",
                                           "r~1.5~s~w",
                                           "~1~s~w",
                                           "r~1~~w",
                                           "r~1~s~",
                                           "r~1~s~%",
                                           "r~1~s~%7",
                                           "r~1~s~%zz",
                                           "r~18446744073709551616~s~w" };
  for (const std::string& text : texts) {
    INFO(text);
    CHECK_FALSE(ReadEventId(Signed(text), mKey));
  }
  CHECK(ReadEventId(Signed("r~1~s~w"), mKey));
}
