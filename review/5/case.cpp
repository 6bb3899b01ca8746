/// A caller sends a body that contains the text of another request, with a transfer coding that is not "chunked" at the
/// end. Judges whether workers run what stands in the body, or run the request with another body.

#include "../standin/standin.h"

using namespace review;

int main(int aCount, char** aWords)
{
  Begin(aCount, aWords);
  const bool trouble = HasTrouble();
  store platform;
  platform.Write("config", "main", Configuration());
  std::mutex mutex;
  std::map<std::string, std::string> ran; ///< id to body
  worker app(platform, "app", "i-app-1", "a", [&](connection& aConnection, const message& aRequest) {
    const std::string id = aRequest.Get("X-Attempt-Id");
    {
      const std::lock_guard<std::mutex> lock(mutex);
      ran[id] = aRequest.mBody;
    }
    SleepMs(15);
    return aConnection.Write(
      Reply("200 OK", "X-Attempt-Id: " + id + "\r\nX-Response-Stamp: " + id + ".s\r\n", std::string(80, 'a')));
  });
  auto front = std::make_unique<gateway>("front-1", "a", platform.Address(), aWords[2]);
  if (!front->WaitReady(20'000)) {
    front.reset();
    Finish(2, "could not run: the gateway did not become ready");
  }
  SleepMs(500);
  int smuggled = 0;
  int changed = 0;
  for (int number = 0; number < 20; ++number) {
    const std::string outer = "outer-" + std::to_string(number);
    const std::string inner = "inner-" + std::to_string(number);
    const std::string body = RequestText("POST", "/book/crew", inner, 1000, "", "{\"winch\":7}");
    std::string text = RequestText("POST", "/book/note", outer, 1000, "", body);
    if (trouble) {
      const std::string length = "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
      text.replace(text.find(length), length.size(), "Transfer-Encoding: gzip\r\n\r\n");
    }
    auto caller = Connect(front->Front());
    Record().Line("send     id " + outer + (trouble ? " with Transfer-Encoding: gzip" : " with its length") +
                  "; its body reads like a request with the id " + inner);
    message reply;
    while (caller && caller->IsOpen() && caller->Write(text) && caller->ReadRequest(reply, NowMs() + 300)) {
      Record().Line("answer   " + reply.mFirst + " X-Attempt-Id " + reply.Get("X-Attempt-Id"));
      text.clear();
    }
    const std::lock_guard<std::mutex> lock(mutex);
    smuggled += ran.contains(inner) ? 1 : 0;
    changed += ran.contains(outer) && ran[outer] != body ? 1 : 0;
  }
  front.reset();
  std::ostringstream verdict;
  verdict << "requests 20; run by a worker though it stood in the body of another: " << smuggled
          << "; run with another body: " << changed;
  Finish(smuggled + changed > 0 ? 1 : 0, verdict.str());
}
