package org.carobstage.cli;

import java.lang.System.Logger.Level;
import org.carobstage.event.LogFormat;
import org.carobstage.event.LogSetup;

/** Parses the command line and runs a command. */
public final class Main {
    private Main() {}

    /**
     * Runs a command and exits the process with its exit code.
     *
     * @param args the command line
     */
    public static void main(String[] args) {
        LogSetup.apply(LogFormat.TEXT, Level.INFO);
        System.exit(CommandTree.execute(new Console(System.out, System.err), args).number());
    }
}
