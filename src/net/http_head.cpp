#include "hyssopford/net/http_head.hpp"

#include "hyssopford/net/key_digest.hpp"

#include <algorithm>
#include <charconv>

namespace hyssopford {

namespace {

/// Longest field names, values and methods in bytes.
constexpr std::size_t MaximumNameLength = 256;
constexpr std::size_t MaximumValueLength = 8'192;
constexpr std::size_t MaximumMethodLength = 32;

bool isDigit(char C) { return C >= '0' && C <= '9'; }

char toLower(char C) {
  return C >= 'A' && C <= 'Z' ? static_cast<char>(C - 'A' + 'a') : C;
}

/// tchar of RFC 9110, section 5.6.2.
bool isTokenChar(char C) {
  return isDigit(C) || (toLower(C) >= 'a' && toLower(C) <= 'z') ||
         std::string_view("!#$%&'*+-.^_`|~").find(C) != std::string_view::npos;
}

bool isToken(std::string_view Text) {
  return !Text.empty() && std::all_of(Text.begin(), Text.end(), isTokenChar);
}

bool isFieldChar(char C) {
  const auto Code = static_cast<unsigned char>(C);
  return Code == '\t' || (Code >= 0x20 && Code != 0x7f);
}

std::string_view trim(std::string_view Text) {
  while (!Text.empty() && (Text.front() == ' ' || Text.front() == '\t')) {
    Text.remove_prefix(1);
  }
  while (!Text.empty() && (Text.back() == ' ' || Text.back() == '\t')) {
    Text.remove_suffix(1);
  }
  return Text;
}

bool listContains(std::string_view List, std::string_view Token) {
  while (!List.empty()) {
    const std::size_t Comma = std::min(List.find(','), List.size());
    if (equalsIgnoreCase(trim(List.substr(0, Comma)), Token)) {
      return true;
    }
    List.remove_prefix(std::min(Comma + 1, List.size()));
  }
  return false;
}

/// Returns whether a path segment is "." or "..", percent-encoded or not. An
/// upstream that resolves such a segment would serve another path than the one
/// the request was routed by.
bool isDotSegment(std::string_view Segment) {
  std::size_t Dots = 0;
  while (!Segment.empty()) {
    if (Segment.front() == '.') {
      Segment.remove_prefix(1);
    } else if (Segment.size() >= 3 && Segment.substr(0, 2) == "%2" &&
               toLower(Segment[2]) == 'e') {
      Segment.remove_prefix(3);
    } else {
      return false;
    }
    ++Dots;
  }
  return Dots == 1 || Dots == 2;
}

bool isValidTarget(std::string_view Target) {
  const auto IsAllowed = [](char C) {
    return C > 0x20 && C < 0x7f && C != '#' && C != '\\' && C != '"' &&
           C != '<' && C != '>';
  };
  if (!std::all_of(Target.begin(), Target.end(), IsAllowed)) {
    return false;
  }
  std::string_view Path = Target.substr(0, Target.find('?'));
  while (!Path.empty()) {
    Path.remove_prefix(1);
    const std::size_t Slash = std::min(Path.find('/'), Path.size());
    if (isDotSegment(Path.substr(0, Slash))) {
      return false;
    }
    Path.remove_prefix(Slash);
  }
  return Target.find("%00") == std::string_view::npos;
}

/// Checks the lines of a head and collects the fields that determine the body
/// framing.
class HeadChecker {
public:
  HeadChecker(const HttpLimits &HeadLimits, HttpFault &Reason)
      : Limits(HeadLimits), Fault(Reason) {}

  bool refuse(int Status, const char *Reason) {
    Fault = HttpFault{Status, Reason};
    return false;
  }

  bool nextLine(std::string_view &Head, std::string_view &Line) {
    const std::size_t End = Head.find('\n');
    if (End == std::string_view::npos || End == 0 || Head[End - 1] != '\r') {
      return refuse(400, "line does not end with CRLF");
    }
    Line = Head.substr(0, End - 1);
    if (Line.find('\r') != std::string_view::npos) {
      return refuse(400, "bare CR");
    }
    Head.remove_prefix(End + 1);
    return true;
  }

  bool checkFields(std::string_view Head, HttpHeadFacts &Facts) {
    std::size_t Count = 0;
    std::string_view Line;
    while (true) {
      if (!nextLine(Head, Line)) {
        return false;
      }
      if (Line.empty()) {
        return true;
      }
      if (++Count > Limits.Fields) {
        return refuse(431, "too many header fields");
      }
      Facts.Fields = Count;
      if (Line.front() == ' ' || Line.front() == '\t') {
        return refuse(400, "folded header line");
      }
      if (isFieldLine(Line, Limits.CredentialField)) {
        readCredential(Line.substr(Limits.CredentialField.size() + 1), Facts);
        continue;
      }
      std::string_view Name;
      std::string_view Value;
      if (!splitFieldLine(Line, Name, Value)) {
        return refuse(400, "malformed header field");
      }
      if (Name.size() > MaximumNameLength ||
          Value.size() > MaximumValueLength) {
        return refuse(431, "header field too long");
      }
      if (!checkUnique(Name) || !checkField(Name, Value, Facts)) {
        return false;
      }
    }
  }

  bool checkUnique(std::string_view Name) {
    const auto Found = std::find_if(
        Limits.UniqueFields.begin(), Limits.UniqueFields.end(),
        [&](const std::string &Each) { return namesSameVariable(Each, Name); });
    if (Found == Limits.UniqueFields.end()) {
      return true;
    }
    if (std::find(SeenUnique.begin(), SeenUnique.end(), *Found) !=
        SeenUnique.end()) {
      return refuse(400, "repeated field");
    }
    SeenUnique.push_back(*Found);
    return true;
  }

  bool checkField(std::string_view Name, std::string_view Value,
                  HttpHeadFacts &Facts) {
    if (equalsIgnoreCase(Name, "content-length")) {
      return parseContentLength(Value, Facts);
    }
    if (equalsIgnoreCase(Name, "transfer-encoding")) {
      if (SeenEncoding) {
        return refuse(400, "repeated Transfer-Encoding");
      }
      SeenEncoding = true;
      if (!equalsIgnoreCase(Value, "chunked")) {
        return refuse(501, "unsupported Transfer-Encoding");
      }
    } else if (equalsIgnoreCase(Name, "host")) {
      if (SeenHost) {
        return refuse(400, "repeated Host");
      }
      SeenHost = true;
      return parseHost(Value, Facts);
    } else if (equalsIgnoreCase(Name, "connection")) {
      SeenClose = SeenClose || listContains(Value, "close");
      SeenKeepAlive = SeenKeepAlive || listContains(Value, "keep-alive");
    } else if (equalsIgnoreCase(Name, "expect")) {
      if (!equalsIgnoreCase(Value, "100-continue")) {
        return refuse(417, "unsupported Expect");
      }
      Facts.ExpectContinue = true;
    }
    return true;
  }

  /// Reads a key, which may have any length and any bytes that a line may have:
  /// a wrong key gets the same refusal whatever it looks like.
  static void readCredential(std::string_view Text, HttpHeadFacts &Facts) {
    const std::string_view Key = trim(Text);
    const bool IsUsable = !Facts.HasCredentialField && !Key.empty();
    Facts.HasCredentialField = true;
    Facts.Credential =
        IsUsable ? std::optional(digestOfKey(Key)) : std::nullopt;
  }

  bool parseContentLength(std::string_view Value, HttpHeadFacts &Facts) {
    if (SeenLength) {
      return refuse(400, "repeated Content-Length");
    }
    SeenLength = true;
    if (Value.empty() || !std::all_of(Value.begin(), Value.end(), isDigit)) {
      return refuse(400, "malformed Content-Length");
    }
    const auto Parsed = std::from_chars(
        Value.data(), Value.data() + Value.size(), Facts.ContentLength);
    if (Parsed.ec != std::errc()) {
      return refuse(400, "Content-Length out of range");
    }
    return true;
  }

  bool parseHost(std::string_view Value, HttpHeadFacts &Facts) {
    const auto IsAllowed = [](char C) {
      return isDigit(C) || (toLower(C) >= 'a' && toLower(C) <= 'z') ||
             C == '.' || C == '-' || C == '_' || C == ':' || C == '[' ||
             C == ']';
    };
    if (!std::all_of(Value.begin(), Value.end(), IsAllowed)) {
      return refuse(400, "malformed Host");
    }
    const std::size_t Bracket = Value.find(']');
    const std::size_t Colon =
        Value.find(':', Bracket == std::string_view::npos ? 0 : Bracket);
    if (Facts.TargetOffset == 0) {
      Facts.Host = Value.substr(0, Colon);
    }
    if (Colon != std::string_view::npos) {
      const std::string_view Port = Value.substr(Colon + 1);
      if (!std::all_of(Port.begin(), Port.end(), isDigit) || Port.size() > 5) {
        return refuse(400, "malformed Host");
      }
    }
    std::transform(Facts.Host.begin(), Facts.Host.end(), Facts.Host.begin(),
                   toLower);
    return true;
  }

  /// Sets body framing and keep-alive after all fields were checked.
  bool determineFraming(bool Http11, HttpHeadFacts &Facts) {
    if (SeenLength && SeenEncoding) {
      return refuse(400, "Content-Length together with Transfer-Encoding");
    }
    if (SeenEncoding && !Http11) {
      return refuse(400, "Transfer-Encoding in HTTP/1.0");
    }
    Facts.KeepAlive = !SeenClose && (Http11 || SeenKeepAlive);
    if (SeenEncoding) {
      Facts.Framing = BodyFraming::Chunked;
    } else if (SeenLength) {
      Facts.Framing = BodyFraming::Length;
    }
    return true;
  }

  bool hasHost() const { return SeenHost; }

private:
  const HttpLimits &Limits;
  HttpFault &Fault;
  bool SeenLength = false;
  bool SeenEncoding = false;
  bool SeenHost = false;
  bool SeenClose = false;
  bool SeenKeepAlive = false;
  std::vector<std::string_view> SeenUnique;
};

/// Removes scheme and authority from an absolute-form target (RFC 9112, section
/// 3.2.2); the authority takes precedence over the Host field.
bool parseAuthority(HeadChecker &Checker, std::string_view &Target,
                    HttpHeadFacts &Facts) {
  constexpr std::string_view Scheme = "http://";
  if (!equalsIgnoreCase(Target.substr(0, Scheme.size()), Scheme)) {
    return true;
  }
  const std::size_t Slash = Target.find('/', Scheme.size());
  if (Slash == std::string_view::npos || Slash == Scheme.size()) {
    return Checker.refuse(400, "malformed request target");
  }
  if (!Checker.parseHost(Target.substr(Scheme.size(), Slash - Scheme.size()),
                         Facts)) {
    return false;
  }
  Facts.TargetOffset = Slash;
  Target.remove_prefix(Slash);
  return true;
}

bool checkRequestLine(HeadChecker &Checker, std::string_view Line, bool &Http11,
                      HttpHeadFacts &Facts) {
  const std::size_t First = Line.find(' ');
  const std::size_t Last = Line.rfind(' ');
  if (First == std::string_view::npos || First == Last) {
    return Checker.refuse(400, "malformed request line");
  }
  const std::string_view Method = Line.substr(0, First);
  std::string_view Target = Line.substr(First + 1, Last - First - 1);
  const std::string_view Version = Line.substr(Last + 1);
  if (!isToken(Method) || Method.size() > MaximumMethodLength) {
    return Checker.refuse(400, "malformed method");
  }
  if (Version.size() != 8 || !Version.starts_with("HTTP/") ||
      !isDigit(Version[5]) || Version[6] != '.' || !isDigit(Version[7])) {
    return Checker.refuse(400, "malformed HTTP version");
  }
  Http11 = Version == "HTTP/1.1";
  if (!Http11 && Version != "HTTP/1.0") {
    return Checker.refuse(505, "unsupported HTTP version");
  }
  if (Method == "CONNECT") {
    return Checker.refuse(501, "CONNECT is not supported");
  }
  if (!parseAuthority(Checker, Target, Facts)) {
    return false;
  }
  const bool Asterisk = Target == "*" && Method == "OPTIONS";
  if (!Asterisk && (!Target.starts_with('/') || !isValidTarget(Target))) {
    return Checker.refuse(400, "malformed request target");
  }
  return true;
}

bool checkStatusLine(HeadChecker &Checker, std::string_view Line, bool &Http11,
                     int &Status) {
  if (Line.size() < 12 || !Line.starts_with("HTTP/1.") || Line[8] != ' ' ||
      (Line.size() > 12 && Line[12] != ' ')) {
    return Checker.refuse(502, "malformed status line");
  }
  Http11 = Line[7] != '0';
  const std::string_view Code = Line.substr(9, 3);
  if (!std::all_of(Code.begin(), Code.end(), isDigit) ||
      !std::all_of(Line.begin(), Line.end(), isFieldChar)) {
    return Checker.refuse(502, "malformed status line");
  }
  std::from_chars(Code.data(), Code.data() + Code.size(), Status);
  if (Status < 100 || Status > 599) {
    return Checker.refuse(502, "status out of range");
  }
  return true;
}

} // namespace

std::optional<HttpHeadFacts> checkRequestHead(std::string_view Head,
                                              const HttpLimits &Limits,
                                              HttpFault &Fault) {
  HeadChecker Checker(Limits, Fault);
  HttpHeadFacts Facts;
  std::string_view Line;
  bool Http11 = true;
  if (!Checker.nextLine(Head, Line)) {
    return std::nullopt;
  }
  if (Line.size() > Limits.StartLine) {
    Checker.refuse(414, "request line too long");
    return std::nullopt;
  }
  if (!checkRequestLine(Checker, Line, Http11, Facts) ||
      !Checker.checkFields(Head, Facts) ||
      !Checker.determineFraming(Http11, Facts)) {
    return std::nullopt;
  }
  if (Http11 && (!Checker.hasHost() || Facts.Host.empty())) {
    Checker.refuse(400, "missing Host");
    return std::nullopt;
  }
  Facts.ExpectContinue = Facts.ExpectContinue && Http11;
  return Facts;
}

std::optional<HttpHeadFacts> checkResponseHead(std::string_view Head,
                                               const HttpLimits &Limits,
                                               bool IsHeadRequest,
                                               HttpFault &Fault) {
  HeadChecker Checker(Limits, Fault);
  HttpHeadFacts Facts;
  std::string_view Line;
  bool Http11 = true;
  if (!Checker.nextLine(Head, Line) ||
      !checkStatusLine(Checker, Line, Http11, Facts.Status) ||
      !Checker.checkFields(Head, Facts) ||
      !Checker.determineFraming(Http11, Facts)) {
    return std::nullopt;
  }
  if (IsHeadRequest || Facts.Status < 200 || Facts.Status == 204 ||
      Facts.Status == 304) {
    Facts.Framing = BodyFraming::None;
  } else if (Facts.Framing == BodyFraming::None) {
    Facts.Framing = BodyFraming::UntilClose;
    Facts.KeepAlive = false;
  }
  return Facts;
}

bool splitFieldLine(std::string_view Line, std::string_view &Name,
                    std::string_view &Value) {
  const std::size_t Colon = Line.find(':');
  if (Colon == std::string_view::npos) {
    return false;
  }
  Name = Line.substr(0, Colon);
  Value = trim(Line.substr(Colon + 1));
  return isToken(Name) && isFieldValue(Value);
}

bool isFieldValue(std::string_view Text) {
  return std::all_of(Text.begin(), Text.end(), isFieldChar);
}

bool namesSameVariable(std::string_view Left, std::string_view Right) {
  const auto Fold = [](char C) { return C == '_' ? '-' : toLower(C); };
  return std::equal(Left.begin(), Left.end(), Right.begin(), Right.end(),
                    [&](char A, char B) { return Fold(A) == Fold(B); });
}

bool isFieldLine(std::string_view Line, std::string_view Name) {
  return !Name.empty() && Line.size() > Name.size() &&
         Line[Name.size()] == ':' &&
         equalsIgnoreCase(Line.substr(0, Name.size()), Name);
}

bool equalsIgnoreCase(std::string_view Left, std::string_view Right) {
  return std::equal(Left.begin(), Left.end(), Right.begin(), Right.end(),
                    [](char A, char B) { return toLower(A) == toLower(B); });
}

} // namespace hyssopford
