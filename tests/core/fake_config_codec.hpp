/// @file
/// @brief Fake ConfigCodec without JSON.
#pragma once

#include "hyssopford/core/config_codec.hpp"

#include <string>

namespace hyssopford {

/// @brief Renders head values as a sequence of length-prefixed fields. A patch
/// "set TEXT" replaces the document by TEXT; any other patch fails. The
/// document "invalid" fails validation; any other is an empty configuration.
class FakeConfigCodec final : public ConfigCodec {
public:
  std::optional<ConfigHead> parseHead(std::string_view Text,
                                      Error &LastError) const override {
    if (!Text.starts_with("head")) {
      LastError.Reason = "the text is not a head value";
      return std::nullopt;
    }
    Text.remove_prefix(4);
    ConfigHead Head;
    Head.Version = number(Text);
    Head.Document = field(Text);
    Head.History = changes(Text);
    for (std::uint64_t Count = number(Text); Count > 0; --Count) {
      const std::uint64_t First = number(Text);
      Head.Archives.push_back({First, number(Text)});
    }
    return Head;
  }

  std::string renderHead(const ConfigHead &Head) const override {
    std::string Text = "head";
    put(Text, std::to_string(Head.Version));
    put(Text, Head.Document);
    Text += renderArchive(Head.History);
    put(Text, std::to_string(Head.Archives.size()));
    for (const ConfigArchive &Each : Head.Archives) {
      put(Text, std::to_string(Each.FirstVersion));
      put(Text, std::to_string(Each.LastVersion));
    }
    return Text;
  }

  std::optional<std::vector<ConfigChange>>
  parseArchive(std::string_view Text, Error & /*LastError*/) const override {
    return changes(Text);
  }

  std::string
  renderArchive(const std::vector<ConfigChange> &Changes) const override {
    std::string Text;
    put(Text, std::to_string(Changes.size()));
    for (const ConfigChange &Each : Changes) {
      put(Text, std::to_string(Each.Version));
      put(Text, std::to_string(Each.Base));
      put(Text, Each.PatchId);
      put(Text, Each.Author);
      put(Text, std::to_string(Each.TimeMs));
      put(Text, Each.Patch);
    }
    return Text;
  }

  std::optional<std::string> applyPatch(std::string_view /*Document*/,
                                        std::string_view Patch,
                                        Error &LastError) const override {
    if (!Patch.starts_with("set ")) {
      LastError = Error{111, "config.patch", "/0", "cannot be applied"};
      return std::nullopt;
    }
    return std::string(Patch.substr(4));
  }

  std::optional<RoutingConfig>
  parseConfig(std::string_view Document, std::uint64_t Version,
              std::vector<Error> &Errors) const override {
    if (Document == "invalid") {
      Errors = {Error{103, "config.parse", "/a", "unknown"},
                Error{104, "config.parse", "/b", "missing"}};
      return std::nullopt;
    }
    RoutingConfig Config;
    Config.Version = Version;
    return Config;
  }

private:
  static void put(std::string &Text, const std::string &Field) {
    Text += std::to_string(Field.size()) + ":" + Field;
  }

  static std::string field(std::string_view &Text) {
    const std::size_t Colon = Text.find(':');
    const std::size_t Size = std::stoul(std::string(Text.substr(0, Colon)));
    std::string Field(Text.substr(Colon + 1, Size));
    Text.remove_prefix(Colon + 1 + Size);
    return Field;
  }

  static std::uint64_t number(std::string_view &Text) {
    return std::stoull(field(Text));
  }

  static std::vector<ConfigChange> changes(std::string_view &Text) {
    std::vector<ConfigChange> Result(number(Text));
    for (ConfigChange &Each : Result) {
      Each.Version = number(Text);
      Each.Base = number(Text);
      Each.PatchId = field(Text);
      Each.Author = field(Text);
      Each.TimeMs = number(Text);
      Each.Patch = field(Text);
    }
    return Result;
  }
};

} // namespace hyssopford
