package org.carobstage.testbed.scenario;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import org.carobstage.model.InstanceId;
import org.carobstage.model.VmId;
import org.carobstage.statement.Outcome;
import org.carobstage.testbed.history.Operation;

/** Reads one line of the language. */
final class LineReader {
    private static final char LABEL_END = ':';

    private LineReader() {}

    static Step read(String line) {
        Words words = Words.of(line);
        String first = words.next("a step");
        Step step =
                first.charAt(first.length() - 1) == LABEL_END
                        ? operation(first.substring(0, first.length() - 1), words)
                        : control(first, words);
        words.end();
        return step;
    }

    private static Step control(String first, Words words) {
        return switch (first) {
            case "layout" -> {
                Layout layout = words.choice(Layout.class);
                yield stage -> stage.layout(layout);
            }
            case "lag" -> {
                long lag = words.millis();
                yield stage -> stage.lag(lag);
            }
            case "vms" -> {
                List<String> names = rest(words);
                yield stage -> stage.vms(names);
            }
            case "wait" -> {
                Duration time = Duration.ofMillis(words.millis());
                yield stage -> stage.world().advance(time);
            }
            case "expect" -> expect(words);
            default -> fault(first, words);
        };
    }

    private static Step fault(String first, Words words) {
        return switch (first) {
            case "freeze", "thaw" -> {
                String id = words.next("an instance");
                yield s -> s.world().faults().freeze(instance(s, id), first.equals("freeze"));
            }
            case "cut", "join" -> {
                String id = words.next("an instance");
                yield s -> s.world().faults().cut(instance(s, id), first.equals("cut"));
            }
            case "sever", "mend" -> {
                VmId vm = VmId.of(words.next("an entry VM"));
                String id = words.next("an instance");
                yield s -> s.world().faults().sever(vm, instance(s, id), first.equals("sever"));
            }
            case "silence" -> s -> s.world().faults().silenceOpenConnections();
            case "lose" -> {
                int answers = (int) words.number("how many answers");
                words.skip("answers");
                yield s -> s.world().faults().loseAnswers(answers);
            }
            case "promote" -> promote(words);
            default ->
                    throw new IllegalArgumentException("a step is expected in place of " + first);
        };
    }

    private static Step promote(Words words) {
        String primary = words.next("an instance");
        words.skip("term");
        long term = words.number("a term");
        words.skip("followers");
        List<String> followers = rest(words);
        return s ->
                s.world()
                        .promote(
                                instance(s, primary),
                                term,
                                followers.stream().map(id -> instance(s, id)).toList());
    }

    private static Step operation(String label, Words words) {
        String caller = words.next("a caller");
        String verb = words.next("adds, lists, begins, commits or rolls");
        return switch (verb) {
            case "adds" -> adds(label, caller, words);
            case "lists" -> {
                String owner = words.next("an owner");
                String vm = at(words);
                String type = as(words);
                yield s -> s.start(label, s.callers().list(caller, owner, vm, type));
            }
            case "begins" -> {
                String vm = at(words);
                String type = as(words);
                yield s -> s.start(label, s.callers().begin(caller, vm, type));
            }
            case "commits" -> s -> s.start(label, s.callers().commit(caller));
            case "rolls" -> {
                words.skip("back");
                yield s -> s.start(label, s.callers().rollBack(caller));
            }
            default ->
                    throw new IllegalArgumentException(
                            "adds, lists, begins, commits or rolls is expected in place of "
                                    + verb);
        };
    }

    private static Step adds(String label, String caller, Words words) {
        long id = words.number("an identifier");
        words.skip("to");
        String owner = words.next("an owner");
        if (words.skipIf("inside")) {
            return s -> s.start(label, s.callers().addInTransaction(caller, id, owner));
        }
        String vm = at(words);
        String type = as(words);
        String key = words.skipIf("key") ? words.next("a key") : null;
        return s -> s.start(label, s.callers().add(caller, id, owner, vm, type, key));
    }

    private static Step expect(Words words) {
        String label = words.next("a label");
        List<Step> checks = new ArrayList<>();
        List<Operation.Outcome> outcomes = new ArrayList<>();
        do {
            outcomes.add(words.choice(Operation.Outcome.class));
        } while (words.skipIf("or"));
        checks.add(s -> checkOutcome(s.await(label).outcome(), outcomes));
        if (words.skipIf("within")) {
            long millis = words.millis();
            checks.add(s -> require(s.took(label) <= millis, "took " + s.took(label) + " ms"));
        }
        if (words.skipIf("from")) {
            boolean replica = words.next("replica or primary").equals("replica");
            checks.add(
                    s ->
                            require(
                                    isFrom(s.await(label).outcome(), replica),
                                    "the outcome is " + s.await(label).outcome()));
        }
        if (words.skipIf("sees")) {
            List<Long> ids = numbers(words);
            checks.add(
                    s ->
                            require(
                                    s.await(label).ids().equals(ids),
                                    "the outcome is " + s.await(label).outcome()));
        }
        return s -> checks.forEach(check -> check.run(s));
    }

    private static void checkOutcome(Outcome found, List<Operation.Outcome> expected) {
        require(expected.contains(Callers.told(found)), "the outcome is " + found);
    }

    private static boolean isFrom(Outcome outcome, boolean replica) {
        return outcome instanceof Outcome.Done done && done.replica() == replica;
    }

    private static void require(boolean holds, String found) {
        if (!holds) {
            throw new IllegalStateException(found);
        }
    }

    private static String at(Words words) {
        words.skip("at");
        return words.next("an entry VM");
    }

    private static String as(Words words) {
        words.skip("as");
        return words.next("a request class");
    }

    private static InstanceId instance(Stage stage, String name) {
        return stage.world().instance(name);
    }

    private static List<String> rest(Words words) {
        List<String> names = new ArrayList<>();
        do {
            names.add(words.next("a name"));
        } while (!words.isEmpty());
        return names;
    }

    private static List<Long> numbers(Words words) {
        List<Long> numbers = new ArrayList<>();
        for (OptionalLong n = words.numberIfAny(); n.isPresent(); n = words.numberIfAny()) {
            numbers.add(n.getAsLong());
        }
        return numbers;
    }
}
