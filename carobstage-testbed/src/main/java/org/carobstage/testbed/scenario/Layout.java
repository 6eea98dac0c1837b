package org.carobstage.testbed.scenario;

import org.carobstage.model.InstanceId;
import org.carobstage.testbed.database.InstanceSettings;

/** The instance settings and the document path of a team's example group. */
enum Layout {
    /** The group varas-familia. */
    AGRESTE("agreste/familia-forms.ini", 3, 20, 10),
    /** The group aftercare-db. */
    LUZON("luzon/aftercare.ini", 5, 60, 30);

    private final String documentPath;
    private final int slots;
    private final int connections;
    private final long openMillis;

    Layout(String documentPath, int slots, int connections, long openMillis) {
        this.documentPath = documentPath;
        this.slots = slots;
        this.connections = connections;
        this.openMillis = openMillis;
    }

    String documentPath() {
        return documentPath;
    }

    InstanceSettings instanceSettings(long lagMillis) {
        InstanceId any = InstanceId.of("any");
        return new InstanceSettings(any, slots, connections, openMillis, lagMillis, 0);
    }
}
