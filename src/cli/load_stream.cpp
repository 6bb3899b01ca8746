#include "cli/load_stream.h"

#include <boost/json.hpp>
#include <fmt/format.h>

#include <charconv>

namespace chervilpulley::cli {

namespace {

namespace json = boost::json;

constexpr std::string_view kDone = "[DONE]";
constexpr char kIdSeparator = '~';

std::string_view ValueOf(std::string_view aLine, std::string_view aField)
{
  aLine.remove_prefix(aField.size() + 1);
  if (aLine.starts_with(' ')) {
    aLine.remove_prefix(1);
  }
  return aLine;
}

bool IsField(std::string_view aLine, std::string_view aField)
{
  return aLine.starts_with(aField) && aLine.substr(aField.size()).starts_with(':');
}

std::string TextAt(const json::object& aObject, std::string_view aName)
{
  const json::value* found = aObject.if_contains(aName);
  return found != nullptr && found->is_string() ? std::string(found->get_string()) : std::string();
}

/// The only choice of a chunk; null when it has none.
const json::object* ChoiceOf(const json::object& aChunk)
{
  const json::value* choices = aChunk.if_contains("choices");
  if (choices == nullptr || !choices->is_array() || choices->get_array().empty()) {
    return nullptr;
  }
  return choices->get_array()[0].if_object();
}

} // namespace

void sse_reader::Handle(std::string_view aPiece, const std::function<void(const sse_event&)>& aSink)
{
  mBuffer += aPiece;
  std::size_t start = 0;
  for (std::size_t end = mBuffer.find('\n'); end != std::string::npos; end = mBuffer.find('\n', start)) {
    std::string_view line = std::string_view(mBuffer).substr(start, end - start);
    if (line.ends_with('\r')) {
      line.remove_suffix(1);
    }
    HandleLine(line, aSink);
    start = end + 1;
  }
  mBuffer.erase(0, start);
}

void sse_reader::HandleLine(std::string_view aLine, const std::function<void(const sse_event&)>& aSink)
{
  if (aLine.empty()) {
    if (mHasData) {
      aSink(mEvent);
    }
    mEvent = {};
    mHasData = false;
  } else if (IsField(aLine, "id")) {
    mEvent.mId = ValueOf(aLine, "id");
  } else if (IsField(aLine, "data")) {
    mEvent.mData += mHasData ? "\n" : "";
    mEvent.mData += ValueOf(aLine, "data");
    mHasData = true;
  }
}

std::optional<std::uint64_t> NextPositionOf(std::string_view aEventId)
{
  const std::size_t start = aEventId.find(kIdSeparator);
  if (start == std::string_view::npos) {
    return std::nullopt;
  }
  std::uint64_t position = 0;
  const char* end = aEventId.data() + aEventId.size();
  const auto parsed = std::from_chars(aEventId.data() + start + 1, end, position);
  if (parsed.ec != std::errc() || parsed.ptr == end || *parsed.ptr != kIdSeparator) {
    return std::nullopt;
  }
  return position;
}

stream_checker::stream_checker(std::string aRequestId, std::uint32_t aMaxTokens)
  : mRequestId(std::move(aRequestId))
  , mMaxTokens(aMaxTokens)
{
}

bool stream_checker::Handle(const sse_event& aEvent)
{
  if (mIsDone) {
    mMismatch = "an event came after [DONE]";
    return false;
  }
  if (aEvent.mData == kDone) {
    mIsDone = true;
    return false;
  }
  return HandleChunk(aEvent);
}

bool stream_checker::AcceptPosition(const std::string& aEventId)
{
  const auto next = NextPositionOf(aEventId);
  if (!next) {
    return true;
  }
  if (*next <= mNextPosition) {
    ++mDuplicates;
    return false;
  }
  if (*next > mNextPosition + 1 && mMismatch.empty()) {
    mMismatch = fmt::format("position {} came where {} was due", *next - 1, mNextPosition);
  }
  mNextPosition = *next;
  mLastEventId = aEventId;
  return true;
}

bool stream_checker::HandleChunk(const sse_event& aEvent)
{
  json::error_code fault;
  const json::value value = json::parse(aEvent.mData, fault);
  const json::object* chunk = fault ? nullptr : value.if_object();
  if (chunk == nullptr) {
    mMismatch = "an event is not JSON";
    return false;
  }
  if (const json::value* error = chunk->if_contains("error")) {
    mError = error->is_object() ? TextAt(error->get_object(), "message") : "an error without a message";
    return false;
  }
  if (TextAt(*chunk, "id") != mRequestId) {
    mMismatch = fmt::format("request \"{}\" got a chunk of \"{}\"", mRequestId, TextAt(*chunk, "id"));
  }
  const json::object* choice = ChoiceOf(*chunk);
  if (choice == nullptr || !AcceptPosition(aEvent.mId)) {
    return false;
  }
  ++mTokens;
  mText += TextAt(*choice, "text");
  mFinishReason = TextAt(*choice, "finish_reason");
  return true;
}

bool stream_checker::IsComplete() const
{
  const bool hasAllTokens = mFinishReason == "length" ? mTokens == mMaxTokens : mTokens <= mMaxTokens;
  return mIsDone && mError.empty() && !mFinishReason.empty() && hasAllTokens;
}

} // namespace chervilpulley::cli
