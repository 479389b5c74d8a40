#pragma once

#include <string>
#include <string_view>

namespace snipehall {

// Text with &, <, >, " and ' replaced, for element contents and attributes.
std::string EscapeHtml(std::string_view text);

// An HTML document under construction. Markup is appended as it is, values are
// escaped.
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
  // <input type="hidden">.
  HtmlWriter& Hidden(std::string_view name, std::string_view value);

  std::string& text() { return m_text; }

 private:
  std::string m_text;
};

}  // namespace snipehall
