// Stands in for a model engine.

#include "standins/model_engine.h"

int main(int argc, char** argv) {
  using gentianlb::standins::ModelEngine;
  gentianlb::standins::Control control(ModelEngine::Switches());
  ModelEngine service(control);
  return gentianlb::standins::RunStandin(
      argc, argv, "Stands in for a model engine.", control,
      [&](const auto& request, const auto& answer) {
        service.Handle(request, answer);
      });
}
