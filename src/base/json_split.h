#pragma once

#include <optional>
#include <string_view>
#include <vector>

/// Splits a JSON text of another process into the raw texts of its parts. The parts are not interpreted, so that one
/// that no parser accepts (nested too deeply, a number out of range, invalid UTF-8) leaves the others readable. Takes
/// linear time and no recursion.
namespace chervilpulley {

/// The elements of an array; nothing if the text is no array, or its brackets or quotes don't match.
std::optional<std::vector<std::string_view>> SplitArray(std::string_view aText);

/// The members of an object, with the raw texts of their values.
class json_members
{
public:
  /// Nothing if the text is no object, or its brackets or quotes don't match.
  static std::optional<json_members> Split(std::string_view aText);
  /// The value of a member, the last one of this name; empty if there is none. Escaped names are not found.
  std::string_view Find(std::string_view aName) const;

  struct member
  {
    std::string_view mName;
    std::string_view mValue;
  };
  const std::vector<member>& All() const { return mMembers; }

private:
  std::vector<member> mMembers;
};

} // namespace chervilpulley
