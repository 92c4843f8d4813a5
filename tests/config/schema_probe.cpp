#include "schema_probe.hpp"

#include "hyssopford/core/error_codes.hpp"

#include <catch2/catch.hpp>
#include <fstream>
#include <regex>
#include <sstream>

namespace hyssopford::test {

namespace {

using Json = nlohmann::json;
using Pointer = Json::json_pointer;

class Probe {
public:
  Probe(const Json &Root, const Json &Document, const ParseFunction &Function)
      : Schema(Root), Full(Document), Parse(Function) {}

  void visit(const Json &Reference, const Pointer &At) {
    const Json &Node = resolve(Reference);
    CAPTURE(At.to_string());
    REQUIRE(Full.contains(At));
    if (Node.contains("properties")) {
      visitObject(Node, At);
    } else if (Node.contains("items")) {
      visitArray(Node, At);
    } else {
      visitValue(Node, At);
    }
  }

private:
  const Json &resolve(const Json &Node) const {
    const auto Found = Node.find("$ref");
    return Found == Node.end()
               ? Node
               : Schema.at(Pointer(Found->get<std::string>().substr(1)));
  }

  /// Returns whether the parser reports an error code at a pointer.
  bool reports(const Json &Document, const Pointer &At, ErrorCode Code) const {
    const std::string Name = At.empty() ? "/" : At.to_string();
    for (const Error &Each : Parse(Document.dump())) {
      if (Each.Peer == Name && Each.Code == numberOf(Code)) {
        return true;
      }
    }
    return false;
  }

  Json with(const Pointer &At, const Json &Value) const {
    Json Changed = Full;
    Changed[At] = Value;
    return Changed;
  }

  void visitObject(const Json &Node, const Pointer &At) {
    REQUIRE(Node["additionalProperties"] == false);
    REQUIRE(reports(with(At, 1), At, ErrorCode::WrongType));
    REQUIRE(reports(with(At / "no_such_field", 1), At / "no_such_field",
                    ErrorCode::UnknownField));
    const Json Required = Node.value("required", Json::array());
    for (const auto &[Name, Property] : Node["properties"].items()) {
      const Pointer Child = At / Name;
      CAPTURE(Child.to_string());
      Json Removed = Full;
      Removed[At].erase(Name);
      const bool IsRequired =
          std::find(Required.begin(), Required.end(), Name) != Required.end();
      REQUIRE(reports(Removed, Child, ErrorCode::MissingField) == IsRequired);
      visit(Property, Child);
    }
    // Detects fields that the parser knows and the schema lacks.
    for (const auto &[Name, Value] : Full[At].items()) {
      CAPTURE(Name);
      REQUIRE(Node["properties"].contains(Name));
    }
  }

  void visitArray(const Json &Node, const Pointer &At) {
    REQUIRE(reports(with(At, 1), At, ErrorCode::WrongType));
    const std::size_t Limit = Node.at("maxItems");
    REQUIRE(reports(with(At, Json(std::vector<int>(Limit + 1))), At,
                    ErrorCode::OutOfRange));
    REQUIRE_FALSE(reports(with(At, Json(std::vector<int>(Limit))), At,
                          ErrorCode::OutOfRange));
    if (Node.value("uniqueItems", false)) {
      const Json First = Full[At][0];
      REQUIRE(reports(with(At, Json::array({First, First})), At / 1,
                      ErrorCode::NotUnique));
    }
    visit(Node["items"], At / 0);
  }

  void visitValue(const Json &Node, const Pointer &At) {
    REQUIRE(reports(with(At, Json::array()), At, ErrorCode::WrongType));
    if (Node.contains("enum")) {
      REQUIRE(reports(with(At, "no-such-word"), At, ErrorCode::InvalidFormat));
      for (const Json &Word : Node["enum"]) {
        requireNoFault(with(At, Word), At);
      }
    } else if (Node["type"] == "integer" || Node["type"] == "number") {
      visitNumber(Node, At);
    } else if (Node["type"] == "string") {
      visitText(Node, At);
    } else {
      REQUIRE(Node["type"] == "boolean");
    }
    if (Node.contains("default")) {
      requireNoFault(with(At, Node["default"]), At);
    }
  }

  void visitNumber(const Json &Node, const Pointer &At) {
    const auto Min = Node.at("minimum").get<std::int64_t>();
    const auto Max = Node.at("maximum").get<std::int64_t>();
    REQUIRE(reports(with(At, Min - 1), At, ErrorCode::OutOfRange));
    REQUIRE(reports(with(At, Max + 1), At, ErrorCode::OutOfRange));
    requireNoFault(with(At, Min), At);
    requireNoFault(with(At, Max), At);
    REQUIRE(reports(with(At, Min + 0.5), At, ErrorCode::WrongType) ==
            (Node["type"] == "integer"));
  }

  void visitText(const Json &Node, const Pointer &At) {
    const std::size_t Limit = Node.at("maxLength");
    REQUIRE(reports(with(At, std::string(Limit + 1, 'a')), At,
                    ErrorCode::OutOfRange));
    REQUIRE_FALSE(
        reports(with(At, std::string(Limit, 'a')), At, ErrorCode::OutOfRange));
    const std::regex Pattern(Node.at("pattern").get<std::string>());
    std::vector<std::string> Samples{
        "",          "a",        "A",       "/",     "/a?b", "/a b",
        "x y",       "GET",      "a.b",     "a:80",  "-",    "[::1]:80",
        "1.2.3.4:5", "0:1",      "1.2.3.4", "/etc/", "é",    "host.example:1",
        "[::1]",     "1.2.3.4:0"};
    for (const Json &Example : Node.at("examples")) {
      REQUIRE(std::regex_search(Example.get<std::string>(), Pattern));
      Samples.push_back(Example);
      Samples.push_back(Example.get<std::string>() + "\n");
    }
    for (const std::string &Sample : Samples) {
      CAPTURE(Sample);
      // A string that is too long gets OutOfRange, whatever its format.
      if (Sample.size() <= Limit) {
        REQUIRE(reports(with(At, Sample), At, ErrorCode::InvalidFormat) ==
                !std::regex_match(Sample, Pattern));
      }
    }
  }

  void requireNoFault(const Json &Document, const Pointer &At) const {
    for (const ErrorCode Code :
         {ErrorCode::UnknownField, ErrorCode::WrongType, ErrorCode::OutOfRange,
          ErrorCode::InvalidFormat}) {
      CAPTURE(Document[At], numberOf(Code));
      REQUIRE_FALSE(reports(Document, At, Code));
    }
  }

  const Json &Schema;
  const Json &Full;
  const ParseFunction &Parse;
};

} // namespace

void probeSchema(const Json &Schema, const Json &Full,
                 const ParseFunction &Parse) {
  REQUIRE(Parse(Full.dump()).empty());
  Probe(Schema, Full, Parse).visit(Schema, Pointer());
}

std::string readRepositoryFile(const std::string &Name) {
  std::ifstream File(HYSSOPFORD_SOURCE_DIR "/" + Name);
  CAPTURE(Name);
  REQUIRE(File.good());
  std::ostringstream Content;
  Content << File.rdbuf();
  return Content.str();
}

} // namespace hyssopford::test
