// Stands in for a plain service.

#include "standins/plain_service.h"

int main(int argc, char** argv) {
  using gentianlb::standins::PlainService;
  gentianlb::standins::Control control(PlainService::Switches());
  PlainService service(control);
  return gentianlb::standins::RunStandin(
      argc, argv, "Stands in for a plain service.", control,
      [&](const auto& request, const auto& answer) {
        service.Handle(request, answer);
      });
}
