#include "entry/api_reply.h"

#include <catch2/catch.hpp>

using namespace chervilpulley::entry;

namespace {

struct api_reply_fixture
{
  completion_identity mText{ api_style::Completion, "r-1", "m", 1764800000 };
  completion_identity mChat{ api_style::Chat, "r-2", "m", 1764800000 };
};

} // namespace

TEST_CASE_METHOD(api_reply_fixture, "api_reply_of_a_completion_has_the_shape_that_clients_expect")
{
  CHECK(CompletionJson(mText, "one two", "stop", { 3, 2 }) ==
        R"({"id":"r-1","object":"text_completion","created":1764800000,"model":"m",)"
        R"("choices":[{"index":0,"text":"one two","finish_reason":"stop"}],)"
        R"("usage":{"prompt_tokens":3,"completion_tokens":2,"total_tokens":5}})");
  CHECK(ChunkJson(mText, "one", "") == R"({"id":"r-1","object":"text_completion","created":1764800000,"model":"m",)"
                                       R"("choices":[{"index":0,"text":"one","finish_reason":null}]})");
  CHECK(ChunkJson(mText, "", "length") == R"({"id":"r-1","object":"text_completion","created":1764800000,"model":"m",)"
                                          R"("choices":[{"index":0,"text":"","finish_reason":"length"}]})");
  CHECK(UsageChunkJson(mText, { 3, 0 }) ==
        R"({"id":"r-1","object":"text_completion","created":1764800000,"model":"m","choices":[],)"
        R"("usage":{"prompt_tokens":3,"completion_tokens":0,"total_tokens":3}})");
}

TEST_CASE_METHOD(api_reply_fixture, "api_reply_of_a_chat_has_the_shape_that_clients_expect")
{
  CHECK(CompletionJson(mChat, "one", "length", { 1, 1 }) ==
        R"({"id":"r-2","object":"chat.completion","created":1764800000,"model":"m",)"
        R"("choices":[{"index":0,"message":{"role":"assistant","content":"one"},"finish_reason":"length"}],)"
        R"("usage":{"prompt_tokens":1,"completion_tokens":1,"total_tokens":2}})");
  CHECK(ChunkJson(mChat, "one", "") == R"({"id":"r-2","object":"chat.completion.chunk","created":1764800000,)"
                                       R"("model":"m","choices":[{"index":0,"delta":{"content":"one"},)"
                                       R"("finish_reason":null}]})");
}

TEST_CASE_METHOD(api_reply_fixture, "api_reply_text_with_line_ends_and_quotes_stays_one_line_of_an_event")
{
  const std::string chunk = ChunkJson(mText, "a\"b\nc\r\n", "");
  CHECK(chunk.find_first_of("\r\n") == std::string::npos);
  CHECK(chunk.find(R"("text":"a\"b\nc\r\n")") != std::string::npos);
}

TEST_CASE("event_with_and_without_id_ends_with_an_empty_line")
{
  CHECK(Event("7", "{}") == "id: 7\ndata: {}\n\n");
  CHECK(Event("", "[DONE]") == "data: [DONE]\n\n");
}
