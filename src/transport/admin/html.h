#pragma once

#include <string>
#include <string_view>

namespace snipehall {

// Replaces &, <, >, " and ' by character references, for use in element content
// and quoted attribute values.
std::string EscapeHtml(std::string_view text);

// Builds an HTML document. Markup() appends its argument unchanged; the other
// functions escape their arguments.
class HtmlWriter {
 public:
  HtmlWriter& Markup(std::string_view markup) {
    m_text.append(markup);
    return *this;
  }
  HtmlWriter& Value(std::string_view value) {
    m_text.append(EscapeHtml(value));
    return *this;
  }
  // Appends an <input type="hidden"> element.
  HtmlWriter& HiddenInput(std::string_view name, std::string_view value);

  std::string& text() { return m_text; }

 private:
  std::string m_text;
};

}  // namespace snipehall
