import test from 'ava';
import { createOverloadController, type SheddableRequest } from '../src/overload';

const request: SheddableRequest = {
  speculative: false,
  priority: 5,
  highestPriority: 5,
  lowestPriority: 7,
  probability: 0.9,
};
const lowest = { ...request, priority: 7 };
const hopeless = { ...request, probability: 0.1 };

function controllerAt(pressure: number) {
  const controller = createOverloadController();
  controller.observe(pressure, 0);
  return controller;
}

test('sheds speculative work, then the lowest class, then hopeless requests', (t) => {
  const kinds = (pressure: number) =>
    [{ ...request, speculative: true }, lowest, hopeless, request].map(
      (item) => controllerAt(pressure).decide(item, 0).kind,
    );
  t.deepEqual(kinds(0.3), ['admit', 'admit', 'admit', 'admit']);
  t.deepEqual(kinds(0.7), ['shed', 'admit', 'admit', 'admit']);
  t.deepEqual(kinds(1.2), ['shed', 'shed', 'admit', 'admit']);
  t.deepEqual(kinds(2), ['shed', 'shed', 'shed', 'admit']);
});

test('a service with a single class has no lowest one to shed', (t) => {
  const only = { ...request, lowestPriority: 5 };
  t.is(controllerAt(2).decide(only, 0).kind, 'admit');
});

// Guards against oscillation, in which the lowest class is refused and admitted several times a second:
// shedding lowers the pressure, the level falls, the load returns, and the pressure rises again.
test('pressure that oscillates around a bound does not make the level oscillate', (t) => {
  const controller = createOverloadController();
  const levels = Array.from({ length: 400 }, (_, index) => {
    controller.observe(Math.floor(index / 40) % 2 === 0 ? 1.3 : 0.8, index * 10);
    return controller.level(index * 10);
  });
  const changes = levels.filter((level, index) => index > 0 && level !== levels[index - 1]).length;
  t.is(levels.at(-1), 2);
  t.true(changes <= 2, `${changes}`);
});

test('recovers step by step once calm, unaffected by samples from before a long gap', (t) => {
  const controller = controllerAt(2);
  t.is(controller.level(900), 3);
  t.is(controller.level(1_000), 2);
  t.is(controller.level(2_000), 1);
  controller.observe(0.1, 9_000);
  t.is(controller.level(9_000), 0);
});
