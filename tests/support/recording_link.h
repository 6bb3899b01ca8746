#pragma once

#include <catch2/catch.hpp>

#include <vector>

#include "link/frames.h"
#include "link/link.h"

namespace chervilpulley::test {

/// A link that records the frames sent over it.
class recording_link : public link::connection
{
public:
  bool Send(std::string aMessage) override
  {
    link::frame frame;
    REQUIRE(link::ParseFrame(aMessage, frame));
    mFrames.push_back(std::move(frame));
    return true;
  }
  void Finish() override {}
  void Close() override {}
  bool IsOpen() const override { return true; }
  duration TimeSinceLastReceive() const override { return duration::zero(); }

  std::vector<link::frame> mFrames;
};

} // namespace chervilpulley::test
