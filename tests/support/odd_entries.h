#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

/// Entries of the list of backend servers as another writer may leave them in the store.
namespace chervilpulley::testing {

/// A text that replaces the spec of an entry. Each is odd, so that it names no backend server to use.
struct odd_entry
{
  std::string mName;
  std::string mSpec;
};

/// A sound spec with one member set to a raw text.
inline std::string SpecWith(std::string_view aMember, std::string_view aValue)
{
  const std::vector<std::pair<std::string_view, std::string_view>> members = {
    { "service", R"("s")" }, { "address", R"("10.0.0.9:80")" },
    { "zone", R"("z")" },    { "state", R"("ready")" },
    { "slots", "64" },       { "seq", "1" },
    { "born", "12" },        { "layers", R"({"from":0,"target":8})" }
  };
  std::string spec = "{";
  bool isSet = false;
  for (const auto& [name, value] : members) {
    const bool isMember = name == aMember;
    isSet = isSet || isMember;
    spec += (spec.size() > 1 ? ",\"" : "\"") + std::string(name) + "\":" + std::string(isMember ? aValue : value);
  }
  return spec + (isSet ? "" : ",\"" + std::string(aMember) + "\":" + std::string(aValue)) + "}";
}

inline std::string Nested(std::size_t aLevels)
{
  return std::string(aLevels, '[') + std::string(aLevels, ']');
}

/// Entries that no parser needs to accept.
inline std::vector<odd_entry> UnreadableEntries()
{
  return { { "nested 32", SpecWith("extra", Nested(32)) },
           { "nested 200", SpecWith("extra", Nested(200)) },
           { "nested 100000", SpecWith("extra", Nested(100'000)) },
           { "nested objects", SpecWith("extra", R"({"a":{"a":{"a":)" + Nested(40) + "}}}") },
           { "nested alone", Nested(500) },
           { "exponent of ten digits", SpecWith("born", "1e9999999999") },
           { "negative exponent of ten digits", SpecWith("born", "1e-9999999999") },
           { "invalid UTF-8", SpecWith("service", "\"\xff\xfe\"") },
           { "half a UTF-8 character", SpecWith("zone", "\"z\xe2\x82\"") },
           { "lone surrogate", SpecWith("zone", R"("\ud800")") },
           { "control character", SpecWith("zone", "\"\x01\"") },
           { "infinity", SpecWith("born", "Infinity") },
           { "no number", SpecWith("born", "NaN") },
           { "missing value", SpecWith("born", "") } };
}

/// Entries that are valid JSON with values that no backend server has.
inline std::vector<odd_entry> InvalidEntries()
{
  std::vector<odd_entry> entries = { { "no fields", "{}" },
                                     { "null", "null" },
                                     { "text", R"("bytes that can't be read")" },
                                     { "address without a port", SpecWith("address", R"("10.0.0.9")") },
                                     { "address of a host", SpecWith("address", R"("host:80")") },
                                     { "port 99999", SpecWith("address", R"("10.0.0.9:99999")") },
                                     { "negative port", SpecWith("address", R"("10.0.0.9:-1")") },
                                     { "port of 20 digits", SpecWith("address", R"("10.0.0.9:12345678901234567890")") },
                                     { "enormous address", SpecWith("address", '"' + std::string(200'000, '1') + '"') },
                                     { "service of another type", SpecWith("service", "7") },
                                     { "state of another type", SpecWith("state", "null") } };
  for (const char* port : { "0", "65536", "+80", "80 ", "" }) {
    entries.push_back({ std::string("port ") + port, SpecWith("address", std::string(R"("10.0.0.9:)") + port + '"') });
  }
  entries.push_back({ "address with a zero byte", SpecWith("address", R"("10.0.0.9\u0000\r\nX-Other: y:80")") });
  for (const char* count :
       { "1e300", "1e400", "-1e400", "-1", "0.5", "12345678901234567890123", R"("12")", "null", "[]" }) {
    for (const char* member : { "born", "slots", "seq" }) {
      entries.push_back({ std::string(member) + " " + count, SpecWith(member, count) });
    }
    const std::string layers = std::string(R"({"from":0,"target":)") + count + "}";
    if (count != std::string_view("null")) {
      entries.push_back({ std::string("layers to ") + count, SpecWith("layers", layers) });
    }
  }
  entries.push_back({ "layers of another type", SpecWith("layers", "7") });
  entries.push_back({ "coldMs 1e400", SpecWith("coldMs", "1e400") });
  entries.push_back({ "coldMs of another type", SpecWith("coldMs", R"("1")") });
  return entries;
}

} // namespace chervilpulley::testing
