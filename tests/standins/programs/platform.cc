// Stands in for the platform.

#include "standins/platform.h"

int main(int argc, char** argv) {
  using gentianlb::standins::Platform;
  gentianlb::standins::Control control(Platform::Switches());
  Platform service(control);
  return gentianlb::standins::RunStandin(
      argc, argv, "Stands in for the platform.", control,
      [&](const auto& request, const auto& answer) {
        service.Handle(request, answer);
      });
}
