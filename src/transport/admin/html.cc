#include "transport/admin/html.h"

namespace snipehall {

std::string EscapeHtml(std::string_view text) {
  std::string escaped;
  escaped.reserve(text.size());
  for (const char c : text) {
    switch (c) {
      case '&':
        escaped += "&amp;";
        break;
      case '<':
        escaped += "&lt;";
        break;
      case '>':
        escaped += "&gt;";
        break;
      case '"':
        escaped += "&quot;";
        break;
      case '\'':
        escaped += "&#39;";
        break;
      default:
        escaped += c;
    }
  }
  return escaped;
}

HtmlWriter& HtmlWriter::HiddenInput(std::string_view name,
                                    std::string_view value) {
  return Markup("<input type=\"hidden\" name=\"")
      .Value(name)
      .Markup("\" value=\"")
      .Value(value)
      .Markup("\">");
}

}  // namespace snipehall
