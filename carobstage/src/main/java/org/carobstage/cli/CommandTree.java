package org.carobstage.cli;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.Parameters;
import java.util.List;
import java.util.Optional;
import org.carobstage.error.CodedException;

/** The commands and subcommands of the program. */
final class CommandTree {
    private static final String FRONT = "front";

    private final JCommander root = JCommander.newBuilder().programName("carobstage").build();

    private final VersionOption versionOption = new VersionOption();

    private CommandTree() {
        root.addObject(new HelpOption());
        root.addObject(versionOption);
        add(root, FRONT, new FrontCommand());
    }

    private void addRemainingCommands() {
        add(root, "serve", new ServeCommand());
        add(root, "check", new CheckCommand());
        add(root, "status", new StatusCommand());
        add(root, "timeline", new TimelineCommand());
        JCommander documentCommander = add(root, "document", new DocumentCommands());
        add(documentCommander, "put", new PutCommand(ConfigurationType.DOCUMENT));
        add(documentCommander, "get", new GetCommand(ConfigurationType.DOCUMENT));
        add(documentCommander, "history", new HistoryCommand(ConfigurationType.DOCUMENT));
        JCommander groupCommander = add(root, "group", new GroupCommands());
        add(groupCommander, "put", new PutCommand(ConfigurationType.GROUP));
        add(groupCommander, "get", new GetCommand(ConfigurationType.GROUP));
        add(groupCommander, "history", new HistoryCommand(ConfigurationType.GROUP));
        add(groupCommander, "list", new ListCommand());
        add(groupCommander, "drain", new DrainCommand());
        add(groupCommander, "promote", new PromoteCommand());
        add(root, "version", new VersionCommand());
    }

    static CommandTree of() {
        CommandTree tree = new CommandTree();
        tree.addRemainingCommands();
        return tree;
    }

    /**
     * Runs a command line. {@code front} without arguments is run without the parser, whose
     * reflection would delay its start.
     */
    static ExitCode execute(Console console, String... args) {
        return args.length == 1 && args[0].equals(FRONT)
                ? run(new FrontCommand(), console)
                : of(args).run(console, args);
    }

    /**
     * Creates only {@code front} if the arguments start with it, else all commands. Scanning every
     * command class by reflection would delay the start of {@code front}.
     */
    static CommandTree of(String... args) {
        return args.length > 0 && args[0].equals(FRONT) ? new CommandTree() : of();
    }

    ExitCode run(Console console, String... args) {
        try {
            root.parse(args);
        } catch (ParameterException e) {
            console.err().println(e.getMessage());
            return ExitCode.USAGE;
        }
        if (versionOption.isRequested()) {
            return run(new VersionCommand(), console);
        }
        JCommander commander = root;
        while (commander.getParsedCommand() != null && !isHelpRequested(commander)) {
            commander = commander.getCommands().get(commander.getParsedCommand());
        }
        if (isHelpRequested(commander)) {
            console.out().print(usage(commander));
            return ExitCode.OK;
        }
        JCommander selected = commander;
        return command(selected)
                .map(command -> run(command, console))
                .orElseGet(() -> printUsage(selected, console));
    }

    private static ExitCode run(Command command, Console console) {
        try {
            return command.run(console);
        } catch (CodedException e) {
            console.err().println(e.code().code() + " " + e.code());
            console.err().println(e.getMessage());
            return ExitCode.of(e.code());
        }
    }

    private static ExitCode printUsage(JCommander commander, Console console) {
        console.err().print(usage(commander));
        return ExitCode.USAGE;
    }

    private static JCommander add(JCommander parent, String name, Object command) {
        parent.addCommand(name, List.of(command, new HelpOption()));
        return parent.getCommands().get(name);
    }

    private static boolean isHelpRequested(JCommander commander) {
        return commander.getObjects().stream()
                .filter(HelpOption.class::isInstance)
                .map(HelpOption.class::cast)
                .anyMatch(HelpOption::isRequested);
    }

    private static Optional<Command> command(JCommander commander) {
        return commander.getObjects().stream()
                .filter(Command.class::isInstance)
                .map(Command.class::cast)
                .findFirst();
    }

    private static String usage(JCommander commander) {
        StringBuilder text = new StringBuilder();
        commander.getUsageFormatter().usage(text);
        return text.toString();
    }

    @Parameters(commandDescription = "Store and show team documents and their history")
    private static final class DocumentCommands {}

    @Parameters(commandDescription = "Store and show database groups; drain and promote instances")
    private static final class GroupCommands {}
}
