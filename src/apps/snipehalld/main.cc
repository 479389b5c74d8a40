#include <iostream>

// Entry point of the daemon.
int main() {
  std::cout << "snipehalld " << SNIPEHALL_VERSION << '\n';
  return 0;
}
