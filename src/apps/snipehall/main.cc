#include <iostream>

// Entry point of the command-line tool.
int main() {
  std::cout << "snipehall " << SNIPEHALL_VERSION << '\n';
  return 0;
}
